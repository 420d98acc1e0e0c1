package org.burdocktray.bench.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.burdocktray.connection.peer.generated.PeerEnvelope;
import org.burdocktray.model.Vm;

/**
 * Computes the bytes of messages between VMs including the TCP and IP overhead: 52 bytes
 * of headers per segment (IPv4, TCP with timestamps), a separate acknowledgement for each
 * reply (that of a request travels with its reply), and the handshake and close of a
 * connection if none was used within the idle timeout. Thread safety: none.
 */
final class TransportOverhead {

	private static final int HEADER_BYTES = 52;

	private static final int SEGMENT_BYTES = 1_448;

	private static final int LENGTH_PREFIX_BYTES = 4;

	private static final int SETUP_AND_CLOSE_SEGMENTS = 7;

	private static final int SETUP_OPTION_BYTES = 16;

	private static final long IDLE_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(60);

	private final Map<String, Long> lastUseNanos = new HashMap<>();

	long requestBytes(long nowNanos, Vm from, Vm to, PeerEnvelope request) {
		Long previousUseNanos = this.lastUseNanos.put(from.name() + '>' + to.name(), nowNanos);
		boolean isOpen = previousUseNanos != null && nowNanos - previousUseNanos < IDLE_TIMEOUT_NANOS;
		long setupBytes = isOpen ? 0 : SETUP_AND_CLOSE_SEGMENTS * HEADER_BYTES + SETUP_OPTION_BYTES;
		return setupBytes + framedBytes(request);
	}

	long replyBytes(PeerEnvelope reply) {
		// The requester acknowledges the reply in a separate segment.
		return framedBytes(reply) + HEADER_BYTES;
	}

	private static long framedBytes(PeerEnvelope envelope) {
		long frameBytes = envelope.toBuilder().setRequestId(1 << 20).build().getSerializedSize() + LENGTH_PREFIX_BYTES;
		long segments = (frameBytes + SEGMENT_BYTES - 1) / SEGMENT_BYTES;
		return frameBytes + segments * HEADER_BYTES;
	}

}
