package org.burdocktray.process.load;

import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import org.burdocktray.process.load.UpstreamStatus.Availability;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class UpstreamLoadsTests {

	private final AtomicLong clock = new AtomicLong(1000);

	private final UpstreamLoads loads = new UpstreamLoads(this.clock::get);

	@Test
	void countsOpenHandlesAndIgnoresSecondClose() {
		InFlight first = this.loads.acquire("u");
		this.loads.acquire("u");
		first.close();
		first.close();
		assertThat(this.loads.status("u").ownInFlight()).isEqualTo(1);
	}

	@Test
	void adjustsReportByOwnRequestsSinceItWasReceived() {
		this.loads.acquire("u");
		this.loads.recordReport("u", 10);
		this.loads.acquire("u");
		this.clock.addAndGet(50);
		UpstreamStatus status = this.loads.status("u");
		assertThat(status.reportedInFlight()).isEqualTo(11);
		assertThat(status.reportAgeNanos()).isEqualTo(50);
	}

	@Test
	void upstreamWithoutReportIsAvailableAndLongInService() {
		this.loads.acquire("u");
		assertThat(this.loads.status("u"))
			.isEqualTo(new UpstreamStatus(1, 1, Long.MAX_VALUE, Availability.AVAILABLE, Long.MAX_VALUE));
		assertThat(this.loads.status("other")).isEqualTo(UpstreamStatus.unknown());
	}

	@Test
	void leavingUpstreamStaysOutOfServiceWhenItRecovers() {
		this.loads.markLeaving("u");
		this.loads.markEjected("u");
		this.loads.markRecovered("u");
		assertThat(this.loads.status("u").availability()).isEqualTo(Availability.LEAVING);
		assertThat(this.loads.outOfService()).containsExactly("u");
	}

	@Test
	void recoveredUpstreamBeginsSlowStart() {
		this.loads.markEjected("u");
		assertThat(this.loads.status("u").availability()).isEqualTo(Availability.EJECTED);
		this.loads.markRecovered("u");
		this.clock.addAndGet(TimeUnit.SECONDS.toNanos(2));
		UpstreamStatus status = this.loads.status("u");
		assertThat(status.acceptsNewWork()).isTrue();
		assertThat(status.inServiceNanos()).isEqualTo(TimeUnit.SECONDS.toNanos(2));
	}

	@Test
	void removesUpstreamsThatAreNotRetained() {
		this.loads.markLeaving("gone");
		this.loads.markLeaving("kept");
		this.loads.retain(Set.of("kept"));
		assertThat(this.loads.outOfService()).containsExactly("kept");
	}

	@Test
	void countsRequestsOfConcurrentThreads() throws InterruptedException {
		Thread[] threads = new Thread[4];
		for (int i = 0; i < threads.length; i++) {
			threads[i] = new Thread(() -> {
				for (int round = 0; round < 1000; round++) {
					this.loads.acquire("u").close();
				}
				this.loads.acquire("u");
			});
			threads[i].start();
		}
		for (Thread thread : threads) {
			thread.join();
		}
		assertThat(this.loads.status("u").ownInFlight()).isEqualTo(threads.length);
	}

}
