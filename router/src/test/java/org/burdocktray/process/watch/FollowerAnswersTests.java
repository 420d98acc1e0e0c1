package org.burdocktray.process.watch;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.burdocktray.connection.peer.generated.WatchAnswer;
import org.burdocktray.connection.peer.generated.WatchRequest;
import org.burdocktray.connection.platform.ObjectChanges;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;
import org.burdocktray.process.freshness.RulesFreshness.Timestamp;
import org.burdocktray.process.restore.StoreEras;
import org.burdocktray.process.settings.GatewayOptions.WatchOptions;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against watchers that send VMs to others although their next answer comes soon.
 */
class FollowerAnswersTests {

	private static final String KIND = "servers";

	private static final Timestamp NOW = new Timestamp(1_000_000_000L, 50_000);

	private static final FollowerBounds BOUNDS = new FollowerBounds(3_000);

	private static final StoreRevision REVISION = StoreRevision.of(7);

	private final WatchSources sources = new WatchSources(new WatchOptions(1, 32, 2), "vm-0", new DataCentre("dc-0"),
			BOUNDS, new SplittableRandom(1));

	private final FollowerAnswers answers = new FollowerAnswers(
			new StoreSharing.Kinds(List.of(new WatchedKind(KIND, 1_000, false, BOUNDS)), List.of()), this.sources,
			new StoreEras(() -> NOW), () -> NOW, (delayMillis, action) -> {
			}, this::countListing, new SilentListener());

	private final List<WatchAnswer.Status> statuses = new ArrayList<>();

	private int listings;

	@Test
	void requestWaitsForTheStoreWhileTheLogIsRecent() {
		this.sources.setVms(List.of(new WatchVm("vm-0", new DataCentre("dc-0"), new NetworkAddress("10.0.0.1", 1), 1)));
		this.sources.setKeyKnown(true);
		this.answers.recordChanges(KIND, REVISION, new ObjectChanges(List.of(), REVISION), NOW);
		this.sources.recordFailure(WatchSource.STORE, NOW.monotonicNanos());
		ask(1_000, false);
		assertThat(this.statuses).isEmpty();
		ask(1_000, true);
		assertThat(this.statuses).containsExactly(WatchAnswer.Status.STATUS_STORE_UNAVAILABLE);
		this.answers.recordFailure(KIND);
		assertThat(this.statuses).hasSize(2).containsOnly(WatchAnswer.Status.STATUS_STORE_UNAVAILABLE);
	}

	/**
	 * Guards against a request that waits in vain, since it came while the store was lost
	 * and the store's next answer holds changes alone.
	 */
	@Test
	void listingAskedForInAnOutageIsMadeAfterIt() {
		this.sources.setVms(List.of(new WatchVm("vm-0", new DataCentre("dc-0"), new NetworkAddress("10.0.0.1", 1), 1)));
		this.sources.setKeyKnown(true);
		this.answers.recordFailure(KIND);
		ask(1_000, false);
		assertThat(this.listings).isZero();
		this.answers.recordChanges(KIND, REVISION, new ObjectChanges(List.of(), REVISION), NOW);
		this.answers.recordChanges(KIND, REVISION, new ObjectChanges(List.of(), REVISION), NOW);
		assertThat(this.listings).isEqualTo(1);
		assertThat(this.statuses).isEmpty();
	}

	private void countListing(String kind) {
		this.listings++;
	}

	private void ask(int maxAgeMillis, boolean isAtOnce) {
		WatchRequest request = WatchRequest.newBuilder()
			.setKind(KIND)
			.setListing(true)
			.setWaitMillis(1_000)
			.setMaxAgeMillis(maxAgeMillis)
			.setAtOnce(isAtOnce)
			.build();
		this.answers.handle(request, (answer) -> this.statuses.add(answer.getStatus()));
	}

	/**
	 * Counts nothing.
	 */
	private static final class SilentListener implements WatchListener {

		@Override
		public void onCall(String kind, String source, String result) {
			// Not checked here.
		}

		@Override
		public void onAnswer(String kind, String result) {
			// Not checked here.
		}

		@Override
		public void onConfirmation(String kind, long ageMillis) {
			// Not checked here.
		}

		@Override
		public void onWatching(boolean isWatcher) {
			// Not checked here.
		}

	}

}
