package org.burdocktray.standins;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.json.DecodeException;

/**
 * Converts records to and from JSON bodies. Unknown fields are rejected. Thread safety:
 * thread-safe.
 */
public final class JsonBodies {

	private static final ObjectMapper MAPPER = new ObjectMapper();

	private JsonBodies() {
	}

	/**
	 * Encodes a record as JSON.
	 * @param body the record
	 * @return the JSON text
	 */
	public static String encode(Object body) {
		try {
			return MAPPER.writeValueAsString(body);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalArgumentException("cannot encode as JSON: " + body.getClass(), ex);
		}
	}

	/**
	 * Decodes a JSON body.
	 * @param <T> the type of the record
	 * @param json the JSON text
	 * @param type the type of the record
	 * @return the record
	 * @throws DecodeException when the text is not valid JSON of this type
	 */
	public static <T> T decode(Buffer json, Class<T> type) {
		try {
			return MAPPER.readValue(json.getBytes(), type);
		}
		catch (IOException ex) {
			throw new DecodeException(ex.getMessage(), ex);
		}
	}

}
