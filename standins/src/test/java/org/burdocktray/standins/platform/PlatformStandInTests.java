package org.burdocktray.standins.platform;

import java.io.IOException;
import java.net.http.HttpResponse;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import io.vertx.core.json.JsonObject;
import org.burdocktray.standins.TestHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class PlatformStandInTests {

	private final PlatformStandIn platform = new PlatformStandIn();

	private final TestHttpClient calls = new TestHttpClient(this.platform);

	@BeforeEach
	void start() {
		this.platform.start(0);
	}

	@AfterEach
	void stop() {
		this.platform.stop();
	}

	@Test
	void incrementsVersionOfTheStoreWithEachWrite() throws Exception {
		assertThat(versionOf(create("claims/a", "1"))).isEqualTo(1);
		assertThat(versionOf(create("leases/b/c", "2"))).isEqualTo(2);
		assertThat(versionOf(update("claims/a", 1, "3"))).isEqualTo(3);
		assertThat(this.calls.getJson("/v1/objects/leases/b/c").getString("value")).isEqualTo("2");
		JsonObject list = this.calls.getJson("/v1/objects?prefix=claims/");
		assertThat(list.getLong("version")).isEqualTo(3);
		assertThat(list.getJsonArray("items")).hasSize(1);
	}

	@Test
	void rejectsConflictingMissingAndOversizedWrites() throws Exception {
		create("claims/a", "1");
		assertThat(create("claims/a", "2").statusCode()).isEqualTo(409);
		assertThat(update("claims/a", 7, "2").statusCode()).isEqualTo(409);
		assertThat(update("claims/none", 1, "2").statusCode()).isEqualTo(404);
		assertThat(update("claims/a", 1, "x".repeat(ObjectStore.MAX_VALUE_BYTES + 1)).statusCode()).isEqualTo(413);
		assertThat(update("claims/a", 1, "x".repeat(ObjectStore.MAX_VALUE_BYTES)).statusCode()).isEqualTo(200);
	}

	@Test
	void acceptsOneOfSeveralConcurrentUpdates() throws Exception {
		create("bundles/pointer", "0");
		ExecutorService executor = Executors.newFixedThreadPool(8);
		List<Future<Integer>> statusCodes = IntStream.range(0, 8)
			.mapToObj((writer) -> executor.submit(() -> update("bundles/pointer", 1, "by " + writer).statusCode()))
			.toList();
		int successes = 0;
		for (Future<Integer> statusCode : statusCodes) {
			successes += (statusCode.get() != 200) ? 0 : 1;
		}
		executor.shutdown();
		assertThat(successes).isEqualTo(1);
		assertThat(this.calls.getJson("/v1/objects/bundles/pointer").getLong("version")).isEqualTo(2);
	}

	@Test
	void watchReportsEarlierAndLaterChanges() throws Exception {
		create("bundles/1", "first");
		create("claims/1", "other prefix");
		HttpResponse<Stream<String>> watch = this.calls.getLines("/v1/watch?prefix=bundles/&afterVersion=0");
		create("bundles/2", "second");
		Iterator<String> objects = watch.body().filter((line) -> !line.isBlank()).iterator();
		assertThat(new JsonObject(objects.next()).getString("key")).isEqualTo("bundles/1");
		assertThat(new JsonObject(objects.next()).getString("key")).isEqualTo("bundles/2");
	}

	@Test
	void sendsBlankLinesToKeepWatchAlive() throws Exception {
		HttpResponse<Stream<String>> watch = this.calls.getLines("/v1/watch?prefix=bundles/&afterVersion=0");
		assertThat(watch.body().limit(2)).containsExactly("", "");
	}

	@Test
	void endsWatchesAndRejectsCallsDuringOutage() throws Exception {
		HttpResponse<Stream<String>> watch = this.calls.getLines("/v1/watch?prefix=&afterVersion=0");
		setFaults(new PlatformFaults(true, false, 0, 0, 0, 0));
		assertThat(watch.body()).allMatch(String::isBlank);
		HttpResponse<String> refused = create("claims/a", "1");
		assertThat(refused.statusCode()).isEqualTo(503);
		assertThat(new JsonObject(refused.body()).getString("ran")).isEqualTo("no");
		setFaults(PlatformFaults.NONE);
		assertThat(this.calls.get("/v1/objects/claims/a").statusCode()).isEqualTo(404);
	}

	@Test
	void doesNotExecuteCallsWhenOverloaded() throws Exception {
		setFaults(new PlatformFaults(false, true, 0, 0, 0, 0));
		assertThat(create("claims/a", "1").statusCode()).isEqualTo(429);
		setFaults(PlatformFaults.NONE);
		assertThat(this.calls.getJson("/v1/objects?prefix=").getLong("version")).isZero();
	}

	@Test
	void executesWriteWhoseResponseIsLost() throws Exception {
		setFaults(new PlatformFaults(false, false, 0, 1, 0, 0));
		assertThatThrownBy(() -> create("claims/a", "1")).isInstanceOf(IOException.class);
		assertThat(this.calls.getJson("/v1/objects/claims/a").getString("value")).isEqualTo("1");
	}

	@Test
	void doesNotExecuteDroppedWrite() throws Exception {
		setFaults(new PlatformFaults(false, false, 1, 0, 0, 0));
		assertThatThrownBy(() -> create("claims/a", "1")).isInstanceOf(IOException.class);
		assertThat(this.calls.get("/v1/objects/claims/a").statusCode()).isEqualTo(404);
		JsonObject counts = this.calls.getJson("/standin/counts");
		assertThat(counts.getLong("create")).isZero();
		assertThat(counts.getLong("read")).isEqualTo(1);
	}

	@Test
	void returnsVmListWithLag() {
		DelayedVmList vms = new DelayedVmList();
		List<ListedVm> older = List.of(new ListedVm("ghent-e1", "ghent", "127.0.0.1:9001", "live"));
		List<ListedVm> newer = List.of(new ListedVm("ghent-e1", "ghent", "127.0.0.1:9001", "leaving"));
		vms.set(older, 0);
		vms.set(newer, 5_000_000_000L);
		assertThat(vms.visibleAt(7_999_999_999L, 3_000)).isEqualTo(older);
		assertThat(vms.visibleAt(8_000_000_000L, 3_000)).isEqualTo(newer);
	}

	@Test
	void returnsVmListThatWasSet() throws Exception {
		this.calls.send("PUT", "/standin/vms",
				new PlatformBodies.Vms(List.of(new ListedVm("ghent-e1", "ghent", "127.0.0.1:9001", "live"))));
		assertThat(this.calls.getJson("/v1/vms").getJsonArray("items").getJsonObject(0).getString("state"))
			.isEqualTo("live");
	}

	private HttpResponse<String> create(String key, String value) throws IOException, InterruptedException {
		return this.calls.send("POST", "/v1/objects/" + key, new PlatformBodies.Creation(value));
	}

	private HttpResponse<String> update(String key, long expectedVersion, String value)
			throws IOException, InterruptedException {
		return this.calls.send("PUT", "/v1/objects/" + key, new PlatformBodies.Update(expectedVersion, value));
	}

	private void setFaults(PlatformFaults faults) throws IOException, InterruptedException {
		assertThat(this.calls.send("PUT", "/standin/faults", faults).statusCode()).isEqualTo(204);
	}

	private static long versionOf(HttpResponse<String> response) {
		return new JsonObject(response.body()).getLong("version");
	}

}
