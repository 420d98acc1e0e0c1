package org.burdocktray.process.serve.gateway;

import java.lang.reflect.Proxy;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import io.vertx.core.Vertx;
import org.burdocktray.connection.peer.generated.SharedLoads;
import org.burdocktray.connection.platform.PlatformStore;
import org.burdocktray.process.quarantine.Fingerprint;
import org.burdocktray.process.quarantine.Quarantine;
import org.burdocktray.process.quarantine.QuarantineSettings;
import org.burdocktray.process.quarantine.RequestIdentity;
import org.burdocktray.process.quarantine.RunOutcome;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests how a VM tells others of its quarantine.
 */
class QuarantineSyncTests {

	private final Vertx vertx = Vertx.vertx();

	@AfterEach
	void close() {
		this.vertx.close().toCompletionStage().toCompletableFuture().join();
	}

	/**
	 * Guards against losses that stayed unresolved because their evidence could not be
	 * stored any more: the store's client throws once it has been closed.
	 */
	@Test
	void storeThatThrowsIsOneThatDoesNotWrite() {
		Quarantine quarantine = new Quarantine(QuarantineSettings.sharedThroughStore(), "vm-1");
		RequestIdentity request = RequestIdentity.withoutParts(new Fingerprint("acme", "0a".repeat(32)));
		String run = quarantine.recordStart(request, Set.of("desk-1"), System.nanoTime());
		quarantine.recordCrash("desk-1", System.nanoTime());
		quarantine.recordEnd(run, RunOutcome.ENDED, System.nanoTime());
		quarantine.recordGivenUp(request, System.nanoTime());
		List<SharedLoads> datagrams = new ArrayList<>();
		GatewayAdapter adapter = new GatewayAdapter(null, null, closedStore(), null, null, null);
		new QuarantineSync(this.vertx, quarantine, adapter, null, datagrams::add).save();
		assertThat(datagrams).hasSize(1);
	}

	private static PlatformStore closedStore() {
		return (PlatformStore) Proxy.newProxyInstance(PlatformStore.class.getClassLoader(),
				new Class<?>[] { PlatformStore.class }, (proxy, method, arguments) -> {
					throw new IllegalStateException("Client is closed");
				});
	}

}
