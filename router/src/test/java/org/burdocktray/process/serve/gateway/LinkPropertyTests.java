package org.burdocktray.process.serve.gateway;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.IntStream;

import io.netty.handler.codec.http.HttpMethod;
import org.burdocktray.connection.http.AnswerText;
import org.burdocktray.connection.http.CheckedChannel;
import org.burdocktray.connection.http.ReadAnswer;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.serve.gateway.DisturbedLink.Exchange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against a request that gets another answer than its own, in any part, because a
 * replica writes other bytes besides its answers on a kept connection (incident MIXED,
 * both reports). Left out, as no client can tell them: bytes within a sound answer, and a
 * beginning of an answer that names the request in progress with bytes behind it that
 * have no status line. {@link #countOfWhatNoClientCanTell} counts these.
 */
class LinkPropertyTests {

	private static final int CONNECTIONS = 5;

	private static final int REQUESTS = 12;

	private static final double DISTURBED_SHARE = 0.4;

	private static final AnswerText EARLIER = AnswerText.plain(200, "r1", "run-r1", "first");

	/** Guards against a failure that is read as a success, and the other way round. */
	// Run by hand with more seeds: -Dlink.seeds=10000
	@ParameterizedTest
	@MethodSource("seeds")
	void eachRequestGetsExactlyItsOwnAnswerOrItsConnectionEnds(int seed) {
		Random random = new Random(seed);
		for (int connection = 0; connection < CONNECTIONS; connection++) {
			DisturbedLink link = new DisturbedLink(random, DISTURBED_SHARE);
			try (link) {
				for (int number = 0; number < REQUESTS && link.isOpen(); number++) {
					assertOwnAnswerOrEnd(link, link.exchange("r" + number));
				}
			}
			assertThat(link.refused()).as("refused answers of one connection").isLessThanOrEqualTo(REQUESTS);
			assertThat(link.allocatedBytes()).as("bytes that were not released").isZero();
		}
	}

	/** Guards against sound connections that end. */
	@ParameterizedTest
	@MethodSource("seeds")
	void undisturbedConnectionCarriesAllRequests(int seed) {
		try (DisturbedLink link = new DisturbedLink(new Random(seed), 0)) {
			for (int number = 0; number < REQUESTS; number++) {
				Exchange exchange = link.exchange("r" + number);
				assertThat(exchange.answers()).containsExactly(exchange.own());
				assertThat(link.isOpen()).isTrue();
			}
		}
	}

	/** Guards against a property that holds since every connection ends at once. */
	@Test
	void disturbedConnectionsCarryRequests() {
		Map<LinkDisturbance.Kind, Integer> disturbances = new EnumMap<>(LinkDisturbance.Kind.class);
		int[] counts = new int[5];
		seeds().forEach((seed) -> {
			try (DisturbedLink link = new DisturbedLink(new Random(seed), DISTURBED_SHARE)) {
				for (int number = 0; number < REQUESTS && link.isOpen(); number++) {
					Exchange exchange = link.exchange("r" + number);
					counts[0]++;
					counts[1] += exchange.answers().size();
					counts[2] += exchange.passedOver();
					counts[4] += exchange.isSilent() ? 1 : 0;
				}
				counts[3] += link.refused();
				link.disturbances().forEach((kind, count) -> disturbances.merge(kind, count, Integer::sum));
			}
		});
		System.out.printf("requests %d, answered %d, passed over %d, refused %d, silent %d, disturbances %s%n",
				counts[0], counts[1], counts[2], counts[3], counts[4], disturbances);
		assertThat(disturbances).hasSize(LinkDisturbance.Kind.values().length);
		assertThat(counts[1]).as("answered requests of %d", counts[0]).isGreaterThan(counts[0] / 2);
		assertThat(counts[2]).as("answers that were passed over").isPositive();
		assertThat(counts[3]).as("answers that were refused").isPositive();
	}

	/**
	 * Counts what no client can tell, and guards against a wrong status where a copy
	 * begins within an answer: only its body or its signature may be wrong.
	 */
	@Test
	void countOfWhatNoClientCanTell() {
		long bodies = seeds().filter(LinkPropertyTests::isBodySpoilt).count();
		long heads = seeds().filter(LinkPropertyTests::isHeadSpoilt).count();
		long joined = seeds().filter(LinkPropertyTests::isEndTakenForOwn).count();
		System.out.printf(
				"copy within a body: wrong %d, within a head: wrong %d, end behind beginning: wrong %d, of %d%n",
				bodies, heads, joined, seeds().count());
	}

	static IntStream seeds() {
		return IntStream.rangeClosed(1, Integer.getInteger("link.seeds", 300));
	}

	private static void assertOwnAnswerOrEnd(DisturbedLink link, Exchange exchange) {
		assertThat(exchange.answers()).isSubsetOf(exchange.own()).hasSizeLessThanOrEqualTo(1);
		assertThat(exchange.answers().isEmpty() && link.isOpen()).as("neither answered nor ended").isFalse();
		assertThat(exchange.isSilent() && !link.hasPassedOver()).as("silent, though nothing was passed over").isFalse();
		assertThat(exchange.passedOver()).isLessThanOrEqualTo(AnswerMatcher.MAX_FOREIGN_ANSWERS);
	}

	private static boolean isBodySpoilt(int seed) {
		Random random = new Random(seed);
		AnswerText own = failure("x".repeat(1 + random.nextInt(200)));
		int within = own.headLength() + random.nextInt(own.text().length() - own.headLength());
		Optional<ReadAnswer> read = readSecond(insert(own, within, EARLIER.text()));
		read.ifPresent((found) -> {
			assertThat(found.status()).isEqualTo(own.read().status());
			assertThat(found.id()).isEqualTo(own.read().id());
			assertThat(found.signature()).isEqualTo(own.read().signature());
		});
		return read.filter((found) -> !found.equals(own.read())).isPresent();
	}

	// A whole copy or its beginning.
	private static boolean isHeadSpoilt(int seed) {
		Random random = new Random(seed);
		AnswerText own = failure("failed");
		String part = EARLIER.text().substring(0, 1 + random.nextInt(EARLIER.text().length()));
		String text = insert(own, 1 + random.nextInt(own.headLength() - 1), part);
		Optional<ReadAnswer> read = readSecond(text);
		read.ifPresent((found) -> {
			assertThat(found.status()).isEqualTo(own.read().status());
			assertThat(found.id()).isEqualTo(own.read().id());
			assertThat(found.body()).isEqualTo(own.read().body());
		});
		return read.filter((found) -> !found.equals(own.read())).isPresent();
	}

	private static boolean isEndTakenForOwn(int seed) {
		Random random = new Random(seed);
		AnswerText own = failure("failed");
		AnswerText begun = AnswerText.signatureFirst(503, "r2", "begun", "begun");
		String text = begun.text().substring(0, random.nextInt(begun.headLength()))
				+ EARLIER.text().substring(random.nextInt(EARLIER.text().length())) + own.text();
		return readSecond(text).filter((read) -> !read.equals(own.read())).isPresent();
	}

	private static AnswerText failure(String body) {
		return AnswerText.plain(500, "r2", "run-r2", body);
	}

	private static String insert(AnswerText own, int position, String part) {
		return own.text().substring(0, position) + part + own.text().substring(position);
	}

	private static Optional<ReadAnswer> readSecond(String text) {
		CarriedRequests carried = new CarriedRequests();
		ForeignAnswerFilter filter = new ForeignAnswerFilter(new NetworkAddress("127.0.0.1", 1), 2, carried, "Id",
				(answer) -> {
				});
		try (CheckedChannel channel = new CheckedChannel(filter)) {
			carried.add("r1");
			channel.send(HttpMethod.GET, "r1");
			channel.receive(EARLIER.text());
			assertThat(channel.takeAnswers()).containsExactly(EARLIER.read());
			carried.add("r2");
			channel.send(HttpMethod.GET, "r2");
			channel.receive(text);
			return channel.takeAnswers().stream().findFirst();
		}
	}

}
