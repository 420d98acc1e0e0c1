package org.burdocktray.process.watch;

import java.io.IOException;
import java.util.List;
import java.util.zip.DeflaterOutputStream;

import com.google.protobuf.ByteString;
import org.burdocktray.connection.peer.generated.WatchedObject;
import org.burdocktray.connection.peer.generated.WatchedObjects;
import org.burdocktray.connection.platform.ObjectChanges.ObjectChange;
import org.burdocktray.connection.platform.StoredObject;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Guards against answers that take the memory of a VM or end its watch.
 */
class WatchCodecTests {

	@Test
	void changesSurviveTheWay() {
		List<ObjectChange> changes = List.of(new ObjectChange(new StoredObject("a", 3, "{\"x\":1}"), false),
				new ObjectChange(new StoredObject("b", 2, ""), true));
		assertThat(WatchCodec.encode(changes).flatMap((content) -> WatchCodec.decode(content, 0))).contains(changes);
		assertThat(WatchCodec.encode(List.of())).contains(ByteString.EMPTY);
	}

	@Test
	void contentThatIsTooLargeIsNeitherSentNorRead() throws IOException {
		String value = "x".repeat(20 << 20);
		assertThat(WatchCodec.encode(List.of(new ObjectChange(new StoredObject("a", 1, value), false)))).isEmpty();
		ByteString.Output compressed = ByteString.newOutput();
		try (DeflaterOutputStream output = new DeflaterOutputStream(compressed)) {
			WatchedObjects.newBuilder().addObjects(WatchedObject.newBuilder().setValue(value)).build().writeTo(output);
		}
		assertThat(compressed.size()).isLessThan(WatchCodec.MAX_ANSWER_BYTES);
		assertThat(WatchCodec.decode(compressed.toByteString(), 0)).isEmpty();
	}

	@Test
	void contentOfAnotherFormatIsNotRead() {
		assertThat(WatchCodec.decode(ByteString.copyFromUtf8("{\"items\":[]}"), 0)).isEmpty();
	}

}
