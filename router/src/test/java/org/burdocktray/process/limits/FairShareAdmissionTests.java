package org.burdocktray.process.limits;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

class FairShareAdmissionTests {

	private static final long HOLDING_MILLIS = 1000;

	private static final AdmissionParameters PARAMETERS = new AdmissionParameters(200, 0.5, 100, 30, 30_000);

	@Test
	void admitsImmediatelyWhileSlotsAreFree() {
		FairShareAdmission admission = admission(2);
		AdmissionTicket ticket = ticket("a", 0, 720);
		assertThat(admission.request(ticket, 0)).containsExactly(new AdmissionAction.Admit(ticket));
	}

	@ParameterizedTest
	@CsvSource({ "10, 720, true", "2, 720, false", "10, 250, false", "10, 200, false" })
	void queuesOnlyRequestsExpectedToStartInTime(int slots, long deadlineMillis, boolean queued) {
		FairShareAdmission admission = fullAdmission(slots);
		List<AdmissionAction> actions = admission.request(ticket("a", 0, deadlineMillis), 0);
		assertThat(actions.isEmpty()).isEqualTo(queued);
	}

	@Test
	void refusesWithEstimatedWaitAsRetryDelay() {
		FairShareAdmission admission = fullAdmission(2);
		AdmissionTicket ticket = ticket("a", 0, 720);
		assertThat(admission.request(ticket, 0)).containsExactly(new AdmissionAction.Refuse(ticket, 500));
	}

	@Test
	void refusesQueuedRequestBeforeDeadlineOnceItCannotStartInTime() {
		FairShareAdmission admission = fullAdmission(10);
		AdmissionTicket ticket = ticket("a", 0, 720);
		admission.request(ticket, 0);
		assertThat(admission.tick(millis(400))).isEmpty();
		assertThat(admission.tick(millis(440))).containsExactly(new AdmissionAction.Refuse(ticket, 100));
	}

	@Test
	void estimatesWaitFromObservedHoldingTimes() {
		FairShareAdmission admission = fullAdmission(10);
		for (int released = 0; released < 100; released++) {
			AdmissionTicket next = ticket("full", 0, 720);
			admission.request(next, 0);
			admission.release(next, millis(10 * HOLDING_MILLIS), 0);
		}
		assertThat(admission.request(ticket("a", 0, 720), 0)).first().isInstanceOf(AdmissionAction.Refuse.class);
	}

	@Test
	void admitsOrganisationWithFewestSlotsFirst() {
		FairShareAdmission admission = admission(20);
		List<AdmissionTicket> large = requestSlots(admission, "large", 20);
		admission.request(ticket("large", 0, 720), 0);
		AdmissionTicket small = ticket("small", 0, 720);
		admission.request(small, 0);
		assertThat(admission.release(large.get(0), millis(HOLDING_MILLIS), 0))
			.containsExactly(new AdmissionAction.Admit(small));
	}

	@Test
	void admitsLowerPriorityClassFirstAmongOrganisationsBelowTheirShare() {
		FairShareAdmission admission = admission(20);
		List<AdmissionTicket> large = requestSlots(admission, "large", 20);
		admission.request(ticket("later", 1, 720), 0);
		AdmissionTicket first = ticket("first", 0, 720);
		admission.request(first, 0);
		assertThat(admission.release(large.get(0), millis(HOLDING_MILLIS), 0))
			.containsExactly(new AdmissionAction.Admit(first));
	}

	@Test
	void onlyOrganisationGetsAllSlots() {
		FairShareAdmission admission = admission(20);
		requestSlots(admission, "only", 20);
		assertThat(admission.inProgress()).isEqualTo(20);
	}

	@Test
	void floodingOrganisationLeavesSlotsToOthers() {
		FairShareAdmission admission = admission(100);
		requestSlots(admission, "small", 1);
		long nowMillis = runFlood(admission, 10_000);
		AdmissionTicket small = ticket("small", 0, nowMillis + 720);
		assertThat(admission.request(small, millis(nowMillis))).containsExactly(new AdmissionAction.Admit(small));
	}

	@Test
	void limitsQueueLengthOfOneOrganisation() {
		FairShareAdmission admission = new FairShareAdmission(new AdmissionParameters(0, 1, 3, 0, 30_000), 1, 1);
		requestSlots(admission, "a", 1);
		requestSlots(admission, "a", 10);
		assertThat(admission.waiting()).isEqualTo(3);
	}

	@Test
	void refusesRequestOnceLoanWaitHasEnded() {
		FairShareAdmission admission = fullAdmission(2);
		admission.setBorrowingEnabled(true);
		AdmissionTicket ticket = ticket("a", 0, 720);
		assertThat(admission.request(ticket, 0)).isEmpty();
		assertThat(admission.slotsToBorrow(0)).isEqualTo(1);
		assertThat(admission.tick(millis(30))).containsExactly(new AdmissionAction.Refuse(ticket, 500));
	}

	@Test
	void admitsQueuedRequestOnBorrowedSlot() {
		FairShareAdmission admission = fullAdmission(2);
		admission.setBorrowingEnabled(true);
		AdmissionTicket ticket = ticket("a", 0, 720);
		admission.request(ticket, 0);
		assertThat(admission.resize(3, millis(1))).containsExactly(new AdmissionAction.Admit(ticket));
	}

	@Test
	void withdrawnRequestGetsNoSlot() {
		FairShareAdmission admission = admission(20);
		List<AdmissionTicket> admitted = requestSlots(admission, "full", 20);
		AdmissionTicket ticket = ticket("a", 0, 720);
		admission.request(ticket, 0);
		assertThat(admission.withdraw(ticket)).isTrue();
		assertThat(admission.release(admitted.get(0), 1, 0)).isEmpty();
	}

	private static FairShareAdmission admission(int slots) {
		return new FairShareAdmission(PARAMETERS, slots, HOLDING_MILLIS);
	}

	private static FairShareAdmission fullAdmission(int slots) {
		FairShareAdmission admission = admission(slots);
		requestSlots(admission, "full", slots);
		return admission;
	}

	private static List<AdmissionTicket> requestSlots(FairShareAdmission admission, String organisation, int requests) {
		List<AdmissionTicket> tickets = new ArrayList<>();
		for (int request = 0; request < requests; request++) {
			tickets.add(ticket(organisation, 0, 720));
			admission.request(tickets.get(request), 0);
		}
		return tickets;
	}

	private static long runFlood(FairShareAdmission admission, long durationMillis) {
		Deque<AdmissionAction.Admit> admitted = new ArrayDeque<>();
		for (long nowMillis = 0; nowMillis < durationMillis; nowMillis++) {
			List<AdmissionAction> actions = new ArrayList<>(
					admission.request(ticket("flooding", 0, nowMillis + 720), millis(nowMillis)));
			if (nowMillis % 10 == 0 && admitted.size() >= 90) {
				AdmissionTicket ended = admitted.poll().ticket();
				actions.addAll(admission.release(ended, millis(HOLDING_MILLIS), millis(nowMillis)));
			}
			actions.addAll(admission.tick(millis(nowMillis)));
			actions.stream()
				.filter(AdmissionAction.Admit.class::isInstance)
				.map(AdmissionAction.Admit.class::cast)
				.forEach(admitted::add);
		}
		return durationMillis;
	}

	private static AdmissionTicket ticket(String organisation, int priority, long deadlineMillis) {
		return new AdmissionTicket(organisation, 1, priority, millis(deadlineMillis));
	}

	private static long millis(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
