package org.burdocktray.process.watch;

import java.io.ByteArrayInputStream;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

import com.google.protobuf.ByteString;
import org.burdocktray.connection.peer.generated.WatchedObject;
import org.burdocktray.connection.peer.generated.WatchedObjects;
import org.burdocktray.connection.platform.ObjectChanges.ObjectChange;
import org.burdocktray.connection.platform.StoreRevision;
import org.burdocktray.connection.platform.StoredObject;

/**
 * Converts objects and their changes to the compressed content of answers and back.
 * Thread safety: stateless.
 */
public final class WatchCodec {

	/** The largest answer; as much as the largest answer of the store. */
	public static final int MAX_ANSWER_BYTES = 4 << 20;

	/** Bounds what a short answer can expand to. */
	private static final int MAX_CONTENT_BYTES = 16 << 20;

	private static final int MAX_HEAD_BYTES = 256;

	private WatchCodec() {
	}

	/**
	 * Encodes changes.
	 * @param changes the changes
	 * @return the content, empty if it is too large
	 */
	static Optional<ByteString> encode(List<ObjectChange> changes) {
		if (changes.isEmpty()) {
			return Optional.of(ByteString.EMPTY);
		}
		WatchedObjects.Builder message = WatchedObjects.newBuilder();
		changes.forEach((change) -> message.addObjects(encode(change)));
		WatchedObjects content = message.build();
		if (content.getSerializedSize() > MAX_CONTENT_BYTES) {
			return Optional.empty();
		}
		return Optional.of(compress(content)).filter((bytes) -> bytes.size() <= MAX_ANSWER_BYTES - MAX_HEAD_BYTES);
	}

	private static WatchedObject encode(ObjectChange change) {
		WatchedObject.Builder message = WatchedObject.newBuilder()
			.setKey(change.object().key())
			.setVersion(change.object().version().number())
			.setRemoved(change.removed());
		return change.removed() ? message.build() : message.setValue(change.object().value()).build();
	}

	private static ByteString compress(WatchedObjects content) {
		ByteString.Output output = ByteString.newOutput();
		Deflater deflater = new Deflater(Deflater.BEST_SPEED);
		try (DeflaterOutputStream compressed = new DeflaterOutputStream(output, deflater)) {
			content.writeTo(compressed);
		}
		catch (IOException ex) {
			throw new IllegalStateException("memory cannot be written", ex);
		}
		finally {
			deflater.end();
		}
		return output.toByteString();
	}

	private static StoredObject toObject(WatchedObject message, long era) {
		return new StoredObject(message.getKey(), new StoreRevision(era, message.getVersion()), message.getValue());
	}

	/**
	 * Decodes changes.
	 * @param content the content of an answer
	 * @param era the era of the store to which the versions belong
	 * @return the changes, empty if it cannot be read
	 */
	static Optional<List<ObjectChange>> decode(ByteString content, long era) {
		if (content.isEmpty()) {
			return Optional.of(List.of());
		}
		try (InflaterInputStream input = new InflaterInputStream(new ByteArrayInputStream(content.toByteArray()))) {
			byte[] bytes = input.readNBytes(MAX_CONTENT_BYTES + 1);
			if (bytes.length > MAX_CONTENT_BYTES) {
				return Optional.empty();
			}
			return Optional.of(WatchedObjects.parseFrom(bytes)
				.getObjectsList()
				.stream()
				.map((object) -> new ObjectChange(toObject(object, era), object.getRemoved()))
				.toList());
		}
		catch (IOException ex) {
			return Optional.empty();
		}
	}

}
