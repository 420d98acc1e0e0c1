package org.burdocktray.version.bundle;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.MapperFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import org.burdocktray.model.DataCentre;
import org.burdocktray.model.NetworkAddress;

/**
 * Writes bundles as canonical JSON: fields in alphabetical order, lists in their given
 * order, no white space, default values included. Invariant: equal bundles have equal
 * texts, and reading a written text returns an equal bundle. Thread safety: stateless.
 */
public final class BundleWriter {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.enable(MapperFeature.SORT_PROPERTIES_ALPHABETICALLY)
		.addModule(new SimpleModule().addSerializer(DataCentre.class, ToStringSerializer.instance)
			.addSerializer(NetworkAddress.class, ToStringSerializer.instance))
		.build();

	private BundleWriter() {
	}

	/**
	 * Writes a bundle as canonical JSON.
	 * @param bundle the bundle
	 * @return the canonical text
	 */
	public static String write(Bundle bundle) {
		try {
			return MAPPER.writeValueAsString(bundle);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("bundle can't be serialized as JSON", ex);
		}
	}

	static JsonNode toTree(Bundle bundle) {
		return MAPPER.valueToTree(bundle);
	}

}
