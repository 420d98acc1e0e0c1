package org.burdocktray.process.quarantine;

import java.util.HexFormat;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import org.burdocktray.connection.peer.generated.QuarantineEntry;

/**
 * Converts quarantine entries between their state in memory and their wire format, and
 * times of this VM's clock to and from ages. Thread safety: stateless.
 */
final class QuarantineCodec {

	private QuarantineCodec() {
	}

	static QuarantineEntry encode(Fingerprint fingerprint, Suspect suspect, long nowNanos) {
		QuarantineEntry.Builder entry = QuarantineEntry.newBuilder()
			.setOrganisation(fingerprint.organisation())
			.setBodyDigest(ByteString.copyFrom(HexFormat.of().parseHex(fingerprint.bodyDigest())))
			.setPromptPart(fingerprint.isPart())
			.setExpiresInMillis(millis(suspect.expiresAtNanos() - nowNanos))
			.setRunningRevision(suspect.runningRevision());
		if (suspect.isRunning(nowNanos)) {
			entry.setRunningVm(suspect.runningVm()).setRunningForMillis(millis(suspect.runningUntilNanos() - nowNanos));
		}
		suspect.crashes()
			.forEach((crash) -> entry.addCrashes(org.burdocktray.connection.peer.generated.CrashEvidence.newBuilder()
				.setRunId(crash.runId())
				.setUpstream(crash.upstream())
				.setAgeMillis(millis(nowNanos - crash.crashedAtNanos()))
				.setSharedBy(crash.sharedBy())
				.setDismissed(crash.isDismissed())
				.setProvisional(crash.isProvisional())
				.setRunAgeMillis(millis(crash.run().ageNanos()))
				.setRequest(crash.run().request())
				.setBegunWellBefore(crash.run().begunWellBefore())));
		return entry.build();
	}

	static QuarantineEntry encodeEvidence(Fingerprint fingerprint, Suspect suspect, long nowNanos) {
		return withoutRun(encode(fingerprint, suspect, nowNanos));
	}

	// Only VMs that hear of the end of a run can make use of it.
	static QuarantineEntry withoutRun(QuarantineEntry entry) {
		return entry.toBuilder().clearRunningVm().clearRunningForMillis().clearRunningRevision().build();
	}

	static Fingerprint fingerprint(QuarantineEntry entry) {
		return new Fingerprint(entry.getOrganisation(), HexFormat.of().formatHex(entry.getBodyDigest().toByteArray()),
				entry.getPromptPart());
	}

	static CrashEvidence crash(org.burdocktray.connection.peer.generated.CrashEvidence wire, long nowNanos) {
		return new CrashEvidence(wire.getRunId(), wire.getUpstream(), nowNanos - nanos(wire.getAgeMillis()),
				wire.getSharedBy(), state(wire),
				new CrashedRun(wire.getRequest(), nanos(wire.getRunAgeMillis()), wire.getBegunWellBefore()));
	}

	private static EvidenceState state(org.burdocktray.connection.peer.generated.CrashEvidence wire) {
		if (wire.getDismissed()) {
			return EvidenceState.DISMISSED;
		}
		return wire.getProvisional() ? EvidenceState.PROVISIONAL : EvidenceState.CONFIRMED;
	}

	static long nanos(long millis) {
		return TimeUnit.MILLISECONDS.toNanos(millis);
	}

	private static long millis(long nanos) {
		return Math.max(0, TimeUnit.NANOSECONDS.toMillis(nanos));
	}

}
