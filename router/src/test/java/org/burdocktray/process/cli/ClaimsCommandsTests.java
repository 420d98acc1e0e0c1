package org.burdocktray.process.cli;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.stream.Stream;

import io.reactivex.rxjava3.schedulers.Schedulers;
import io.vertx.core.Vertx;
import org.burdocktray.connection.platform.HttpPlatformStore;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.claim.ClaimClock;
import org.burdocktray.process.claim.ClaimDecision;
import org.burdocktray.process.claim.ClaimParameters;
import org.burdocktray.process.claim.ClaimRequest;
import org.burdocktray.process.claim.ClaimTicket;
import org.burdocktray.process.claim.NoForwarder;
import org.burdocktray.process.claim.StoreClaimRegistry;
import org.burdocktray.standins.platform.PlatformFaults;
import org.burdocktray.standins.platform.PlatformStandIn;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Commands for claims, run against the stand-in of the platform.
 */
class ClaimsCommandsTests {

	private final PlatformStandIn platform = new PlatformStandIn();

	private final Vertx vertx = Vertx.vertx();

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@BeforeEach
	void start() {
		this.platform.start(0);
	}

	@AfterEach
	void stop() {
		this.vertx.close();
		this.platform.stop();
	}

	@Test
	void listsClaimsWithAnUnknownOutcome() {
		ClaimTicket ticket = createClaimWithUnknownOutcome();
		assertThat(run("claims", "list")).isEqualTo(ExitCode.OK);
		assertThat(this.out.toString()).contains("dairy k1 " + ticket.claimId()).contains("1 claims");
	}

	@Test
	void doesNotListClosedClaims() {
		ClaimTicket ticket = createClaimWithUnknownOutcome();
		assertThat(run("claims", "close", "--ran", "booked by hand", "dairy", "k1", ticket.claimId()))
			.isEqualTo(ExitCode.OK);
		assertThat(run("claims", "list")).isEqualTo(ExitCode.OK);
		assertThat(this.out.toString()).contains("0 claims");
	}

	@Test
	void closeRequiresOutcome() {
		assertThat(run("claims", "close", "dairy", "k1", "c")).isEqualTo(ExitCode.USAGE);
	}

	@Test
	void refusesToCloseMissingClaim() {
		assertThat(run("claims", "close", "--not-run", "dairy", "k1", "c")).isEqualTo(ExitCode.REFUSED);
	}

	@Test
	void returnsOwnExitCodeWhenPlatformIsUnavailable() {
		this.platform.applyFaults(new PlatformFaults(true, false, 0, 0, 0, 0));
		assertThat(run("claims", "list")).isEqualTo(ExitCode.PLATFORM_UNAVAILABLE);
	}

	private ClaimTicket createClaimWithUnknownOutcome() {
		HttpPlatformStore store = new HttpPlatformStore(this.vertx.createHttpClient(),
				new NetworkAddress("127.0.0.1", this.platform.port()), 1_000);
		StoreClaimRegistry registry = new StoreClaimRegistry("vm", store, new NoForwarder(), ClaimParameters.standard(),
				Schedulers.computation(), ClaimClock.system(), new SecureRandom());
		ClaimDecision decision = registry.claim(new ClaimRequest("dairy", "k1", "digest", 10_000)).blockingGet();
		ClaimTicket ticket = ((ClaimDecision.Granted) decision).ticket();
		assertThat(registry.recordUnknown(ticket).blockingGet()).isTrue();
		return ticket;
	}

	private ExitCode run(String... arguments) {
		String[] platformOption = { "--platform", "127.0.0.1:" + this.platform.port() };
		String[] commandLine = Stream
			.of(Arrays.copyOf(arguments, 2), platformOption, Arrays.copyOfRange(arguments, 2, arguments.length))
			.flatMap(Arrays::stream)
			.toArray(String[]::new);
		return new CommandRunner(Main.commands()).run(commandLine, new PrintStream(this.out),
				new PrintStream(this.err));
	}

}
