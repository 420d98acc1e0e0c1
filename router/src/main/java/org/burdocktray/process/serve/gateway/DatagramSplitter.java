package org.burdocktray.process.serve.gateway;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;

import org.burdocktray.connection.peer.generated.CrashEvidence;
import org.burdocktray.connection.peer.generated.QuarantineEntry;
import org.burdocktray.connection.peer.generated.SharedLoads;
import org.jboss.logging.Logger;

/**
 * Divides messages between VMs so that each part fits into one datagram: receivers cannot
 * read one that is longer than their buffer. Invariant: the parts merge to the message,
 * but for entries that fit into no datagram, which are left out. Thread safety:
 * stateless.
 */
final class DatagramSplitter {

	private static final Logger LOGGER = Logger.getLogger(DatagramSplitter.class);

	/** Fits into one network packet. */
	static final int MAX_BYTES = 1_200;

	/** Leaves room for one more piece of evidence. */
	private static final int MAX_ENTRY_BYTES = MAX_BYTES / 2;

	private DatagramSplitter() {
	}

	/**
	 * Divides a message.
	 * @param message the message
	 * @return the message itself if it fits, otherwise parts of at most
	 * {@link #MAX_BYTES}
	 */
	static List<SharedLoads> split(SharedLoads message) {
		if (message.getSerializedSize() <= MAX_BYTES) {
			return List.of(message);
		}
		Parts parts = new Parts(message.toBuilder().clearLoads().clearQuarantine().clearLeaving());
		message.getLoadsList().forEach((load) -> parts.add((part) -> part.addLoads(load)));
		message.getQuarantineList()
			.stream()
			.flatMap(DatagramSplitter::splitEntry)
			.forEach((entry) -> parts.add((part) -> part.addQuarantine(entry)));
		message.getLeavingList().forEach((replica) -> parts.add((part) -> part.addLeaving(replica)));
		return parts.finish();
	}

	// An entry collects evidence for as long as it lives. Receivers merge what they get.
	private static Stream<QuarantineEntry> splitEntry(QuarantineEntry entry) {
		if (entry.getSerializedSize() <= MAX_ENTRY_BYTES) {
			return Stream.of(entry);
		}
		List<QuarantineEntry> parts = new ArrayList<>();
		QuarantineEntry.Builder part = entry.toBuilder().clearCrashes();
		for (CrashEvidence crash : entry.getCrashesList()) {
			part.addCrashes(crash);
			if (part.build().getSerializedSize() >= MAX_ENTRY_BYTES) {
				parts.add(part.build());
				part.clearCrashes();
			}
		}
		if (part.getCrashesCount() > 0) {
			parts.add(part.build());
		}
		return parts.stream();
	}

	private static final class Parts {

		private final List<SharedLoads> finished = new ArrayList<>();

		private SharedLoads current;

		private Parts(SharedLoads.Builder first) {
			this.current = first.build();
		}

		private void add(Consumer<SharedLoads.Builder> entry) {
			SharedLoads extended = with(this.current, entry);
			if (extended.getSerializedSize() <= MAX_BYTES) {
				this.current = extended;
				return;
			}
			SharedLoads alone = with(SharedLoads.getDefaultInstance(), entry);
			if (alone.getSerializedSize() > MAX_BYTES) {
				LOGGER.warnf("Entry is too large for a datagram: bytes=%d", alone.getSerializedSize());
				return;
			}
			finishCurrent();
			this.current = alone;
		}

		private static SharedLoads with(SharedLoads message, Consumer<SharedLoads.Builder> entry) {
			SharedLoads.Builder builder = message.toBuilder();
			entry.accept(builder);
			return builder.build();
		}

		private void finishCurrent() {
			if (this.current.getSerializedSize() > 0) {
				this.finished.add(this.current);
			}
		}

		private List<SharedLoads> finish() {
			finishCurrent();
			return List.copyOf(this.finished);
		}

	}

}
