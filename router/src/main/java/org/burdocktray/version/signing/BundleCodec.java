package org.burdocktray.version.signing;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.Optional;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.databind.node.TextNode;

/**
 * Converts proposals, approvals, signed bundles and the pointer to and from their stored
 * form: JSON, with the content compressed so that a large bundle stays below the size
 * limit of the store. Invariant: reading never decompresses more than
 * {@link #MAX_CONTENT_BYTES} and one byte. Thread safety: stateless.
 */
public final class BundleCodec {

	/** The maximum size of the content of a bundle, in bytes of UTF-8. */
	public static final int MAX_CONTENT_BYTES = 8 * 1024 * 1024;

	private static final String CONTENT = "content";

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private BundleCodec() {
	}

	/**
	 * Writes a proposal, approval, signed bundle, delta or pointer.
	 * @param value the record
	 * @return the stored text
	 */
	public static String write(Record value) {
		ObjectNode tree = MAPPER.valueToTree(value);
		if (tree.has(CONTENT)) {
			tree.put(CONTENT, compress(tree.get(CONTENT).textValue()));
		}
		return tree.toString();
	}

	/**
	 * Reads a record.
	 * @param <T> the type of the record
	 * @param text the stored text
	 * @param type the type of the record
	 * @return the record, empty if the text is malformed
	 */
	public static <T extends Record> Optional<T> read(String text, Class<T> type) {
		try {
			JsonNode tree = MAPPER.readTree(text);
			if (tree instanceof ObjectNode object && object.get(CONTENT) instanceof TextNode content) {
				object.put(CONTENT, decompress(content.textValue()));
			}
			return Optional.ofNullable(MAPPER.treeToValue(tree, type));
		}
		catch (JsonProcessingException | UncheckedIOException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private static String compress(String text) {
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (GZIPOutputStream gzip = new GZIPOutputStream(bytes)) {
			gzip.write(text.getBytes(StandardCharsets.UTF_8));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return Base64.getEncoder().encodeToString(bytes.toByteArray());
	}

	private static String decompress(String base64) {
		byte[] compressed = Base64.getDecoder().decode(base64);
		try (GZIPInputStream gzip = new GZIPInputStream(new ByteArrayInputStream(compressed))) {
			byte[] text = gzip.readNBytes(MAX_CONTENT_BYTES + 1);
			if (text.length > MAX_CONTENT_BYTES) {
				throw new IOException("the content is longer than " + MAX_CONTENT_BYTES + " bytes");
			}
			return new String(text, StandardCharsets.UTF_8);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
