package org.burdocktray.version.config;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;

import org.burdocktray.model.NetworkAddress;

/**
 * Provides typed access to the fields of an object in a configuration file.
 *
 * Each read method checks the field and records a fault if the field is missing, has
 * another type or is out of range. It then returns a placeholder value so that the rest
 * of the object can be checked. Invariant: a placeholder is returned only if a fault is
 * recorded, so {@link ConfigFile} never returns it to its caller. Thread safety: confined
 * to the thread that reads the file.
 */
public final class ConfigObject {

	static final String ROOT_PATH = "$";

	private static final Pattern NAME = Pattern.compile("[\\p{L}\\p{N}][\\p{L}\\p{N}._:/-]{0,127}");

	private static final String NAME_DESCRIPTION = "a name of 1 to 128 letters, digits or . _ - : /";

	private static final Pattern NOT_BLANK = Pattern.compile("(?s).*\\S.*");

	private static final Pattern SEGMENT = Pattern.compile("[\\p{L}\\p{N}][\\p{L}\\p{N}._-]{0,127}");

	private final ConfigNode.ObjectNode node;

	private final String path;

	private final FaultCollector faults;

	private final ValueChecker values;

	private final Set<String> knownFields = new LinkedHashSet<>();

	private ConfigObject(ConfigNode.ObjectNode node, String path, FaultCollector faults) {
		this.node = node;
		this.path = path;
		this.faults = faults;
		this.values = new ValueChecker(faults);
	}

	static Optional<ConfigObject> root(ConfigNode node, FaultCollector faults) {
		return of(node, ROOT_PATH, faults);
	}

	private static Optional<ConfigObject> of(ConfigNode node, String path, FaultCollector faults) {
		if (node instanceof ConfigNode.ObjectNode object) {
			return Optional.of(new ConfigObject(object, path, faults));
		}
		faults.add(node.line(), path, "an object", node.describe());
		return Optional.empty();
	}

	static String childPath(String parent, String field) {
		return ROOT_PATH.equals(parent) ? field : parent + "." + field;
	}

	/**
	 * Reads a non-blank text.
	 * @param field the name of the field
	 * @return the text
	 */
	public String text(String field) {
		return matching(field, NOT_BLANK, "a text that is not blank");
	}

	/**
	 * Reads a name of letters, digits and {@code . _ - : /}.
	 * @param field the name of the field
	 * @return the name
	 */
	public String name(String field) {
		return matching(field, NAME, NAME_DESCRIPTION);
	}

	/**
	 * Reads a name that can be used as one segment of a path.
	 * @param field the name of the field
	 * @return the name, without slashes and colons
	 */
	public String segment(String field) {
		return matching(field, SEGMENT, "a name of 1 to 128 letters, digits or . _ -");
	}

	/**
	 * Reads a text that matches a pattern.
	 * @param field the name of the field
	 * @param pattern the pattern that the complete text must match
	 * @param expected a description of the pattern for faults
	 * @return the text
	 */
	public String matching(String field, Pattern pattern, String expected) {
		return requireField(field, expected)
			.map((value) -> this.values.text(value, fieldPath(field), pattern, expected))
			.orElse(ValueChecker.PLACEHOLDER_TEXT);
	}

	/**
	 * Reads a required whole number.
	 * @param field the name of the field
	 * @param range the allowed numbers
	 * @return the number
	 */
	public long wholeNumber(String field, NumberRange range) {
		String expected = "a whole number" + FieldUnit.of(field) + " " + range.describe();
		return requireField(field, expected)
			.map((value) -> this.values.wholeNumber(value, fieldPath(field), range, expected))
			.orElse(0L);
	}

	/**
	 * Reads an optional whole number.
	 * @param field the name of the field
	 * @param range the allowed numbers
	 * @param defaultNumber the number if the field is missing
	 * @return the number
	 */
	public long wholeNumber(String field, NumberRange range, long defaultNumber) {
		return has(field) ? wholeNumber(field, range) : defaultNumber;
	}

	/**
	 * Reads a required number.
	 * @param field the name of the field
	 * @param range the allowed numbers
	 * @return the number
	 */
	public double number(String field, NumberRange range) {
		String expected = "a number" + FieldUnit.of(field) + " " + range.describe();
		return requireField(field, expected)
			.map((value) -> this.values.number(value, fieldPath(field), range, expected))
			.orElse(0.0);
	}

	/**
	 * Reads an optional number.
	 * @param field the name of the field
	 * @param range the allowed numbers
	 * @param defaultNumber the number if the field is missing
	 * @return the number
	 */
	public double number(String field, NumberRange range, double defaultNumber) {
		return has(field) ? number(field, range) : defaultNumber;
	}

	/**
	 * Reads an optional boolean.
	 * @param field the name of the field
	 * @param defaultFlag the value if the field is missing
	 * @return the value
	 */
	public boolean flag(String field, boolean defaultFlag) {
		if (!has(field)) {
			return defaultFlag;
		}
		return this.values.flag(this.node.fields().get(field), fieldPath(field));
	}

	/**
	 * Reads a required enumerated value.
	 * @param field the name of the field
	 * @param words the allowed values
	 * @return the value; the first allowed value is the placeholder
	 */
	public String choice(String field, List<String> words) {
		String expected = "one of " + String.join(", ", words);
		return requireField(field, expected)
			.map((value) -> this.values.choice(value, fieldPath(field), words, expected))
			.orElse(words.get(0));
	}

	/**
	 * Reads an optional enumerated value.
	 * @param field the name of the field
	 * @param words the allowed values
	 * @param defaultWord the value if the field is missing
	 * @return the value
	 */
	public String choice(String field, List<String> words, String defaultWord) {
		return has(field) ? choice(field, words) : defaultWord;
	}

	/**
	 * Reads an IP address with a port.
	 * @param field the name of the field
	 * @return the address
	 */
	public NetworkAddress address(String field) {
		return requireField(field, ValueChecker.ADDRESS_DESCRIPTION)
			.map((value) -> this.values.address(value, fieldPath(field)))
			.orElse(ValueChecker.PLACEHOLDER_ADDRESS);
	}

	/**
	 * Reads an optional list of IP addresses with ports.
	 * @param field the name of the field
	 * @return the addresses, empty if the field is missing
	 */
	public List<NetworkAddress> addresses(String field) {
		return readItems(field, false, this.values::address);
	}

	/**
	 * Reads a list of texts that match a pattern.
	 * @param field the name of the field
	 * @param required whether a missing list is a fault
	 * @param pattern the pattern that each complete text must match
	 * @param expected a description of the pattern for faults
	 * @return the texts
	 */
	public List<String> texts(String field, boolean required, Pattern pattern, String expected) {
		return readItems(field, required, (item, itemPath) -> this.values.text(item, itemPath, pattern, expected));
	}

	/**
	 * Reads an optional list of names.
	 * @param field the name of the field
	 * @return the names, empty if the field is missing
	 */
	public List<String> names(String field) {
		return texts(field, false, NAME, NAME_DESCRIPTION);
	}

	/**
	 * Reads a list of objects.
	 * @param <T> the type of the values
	 * @param field the name of the field
	 * @param required whether a missing list is a fault
	 * @param reader converts an object to a value
	 * @return the entries in file order, including those with a fault
	 */
	public <T> List<ConfigEntry<T>> entries(String field, boolean required, Function<ConfigObject, T> reader) {
		return readItems(field, required, (item, itemPath) -> of(item, itemPath, this.faults)).stream()
			.flatMap(Optional::stream)
			.map((object) -> new ConfigEntry<>(object, object.readEntry(reader)))
			.toList();
	}

	/**
	 * Returns whether a field is a list without items. Does not mark the field as known.
	 * @param field the name of the field
	 * @return true if the field is an empty list
	 */
	public boolean isEmptyList(String field) {
		return this.node.fields().get(field) instanceof ConfigNode.ListNode list && list.items().isEmpty();
	}

	/**
	 * Returns the objects of a list without recording faults.
	 * @param field the name of the list
	 * @return the objects; items of other types are skipped
	 */
	public List<ConfigObject> peekObjects(String field) {
		if (!(this.node.fields().get(field) instanceof ConfigNode.ListNode list)) {
			return List.of();
		}
		List<ConfigObject> objects = new ArrayList<>();
		for (int index = 0; index < list.items().size(); index++) {
			if (list.items().get(index) instanceof ConfigNode.ObjectNode object) {
				objects.add(new ConfigObject(object, fieldPath(field) + "[" + index + "]", this.faults));
			}
		}
		return objects;
	}

	/**
	 * Reads an optional object. A missing object is read as an empty object.
	 * @param <T> the type of the value
	 * @param field the name of the field
	 * @param reader converts the object to the value
	 * @return the value
	 */
	public <T> T object(String field, Function<ConfigObject, T> reader) {
		ConfigNode empty = new ConfigNode.ObjectNode(this.node.line(), Map.of());
		ConfigNode value = has(field) ? this.node.fields().get(field) : empty;
		ConfigObject object = of(value, fieldPath(field), this.faults)
			.orElseGet(() -> new ConfigObject((ConfigNode.ObjectNode) empty, fieldPath(field), this.faults));
		return object.readStrictly(reader);
	}

	/**
	 * Returns whether the object contains a field, and marks the field as known.
	 * @param field the name of the field
	 * @return true if the object contains the field
	 */
	public boolean has(String field) {
		this.knownFields.add(field);
		return this.node.fields().containsKey(field);
	}

	/**
	 * Returns the text of a field without recording a fault.
	 * @param field the name of the field
	 * @return the text, empty if the field is missing or not a text
	 */
	public Optional<String> peekText(String field) {
		return Optional.ofNullable(this.node.fields().get(field))
			.filter(ConfigNode.TextNode.class::isInstance)
			.map((value) -> ((ConfigNode.TextNode) value).value());
	}

	/**
	 * Records a fault of a field.
	 * @param field the name of the field
	 * @param expected a description of the valid values
	 * @param found a description of the value in the file
	 */
	public void addFault(String field, String expected, String found) {
		ConfigNode fieldNode = this.node.fields().getOrDefault(field, this.node);
		this.faults.add(fieldNode.line(), fieldPath(field), expected, found);
	}

	/**
	 * Records a fault of a list item.
	 * @param field the name of the list
	 * @param index the index of the item, starting at 0
	 * @param expected a description of the valid values
	 * @param found a description of the value in the file
	 */
	public void addItemFault(String field, int index, String expected, String found) {
		int line = (this.node.fields().get(field) instanceof ConfigNode.ListNode list) ? list.items().get(index).line()
				: this.node.line();
		this.faults.add(line, fieldPath(field) + "[" + index + "]", expected, found);
	}

	<T> T readStrictly(Function<ConfigObject, T> reader) {
		T value = reader.apply(this);
		this.node.fields().forEach((name, field) -> {
			if (!this.knownFields.contains(name)) {
				rejectUnknownField(name);
			}
		});
		return value;
	}

	private <T> Optional<T> readEntry(Function<ConfigObject, T> reader) {
		int faultsBefore = this.faults.count();
		T value = readStrictly(reader);
		return (this.faults.count() == faultsBefore) ? Optional.of(value) : Optional.empty();
	}

	private void rejectUnknownField(String name) {
		String nearest = NearestName.find(name, this.knownFields)
			.map((known) -> "a known field, perhaps " + known)
			.orElseGet(() -> "one of " + String.join(", ", this.knownFields));
		addFault(name, nearest, "the unknown field " + ConfigNode.excerpt(name));
	}

	private Optional<ConfigNode> requireField(String field, String expected) {
		if (!has(field)) {
			addFault(field, expected, "no such field");
			return Optional.empty();
		}
		return Optional.of(this.node.fields().get(field));
	}

	private <T> List<T> readItems(String field, boolean required, ItemReader<T> reader) {
		if (!has(field) && !required) {
			return List.of();
		}
		Optional<ConfigNode> value = requireField(field, "a list");
		if (value.isEmpty()) {
			return List.of();
		}
		if (!(value.get() instanceof ConfigNode.ListNode list)) {
			addFault(field, "a list", value.get().describe());
			return List.of();
		}
		List<T> items = new ArrayList<>();
		for (ConfigNode item : list.items()) {
			items.add(reader.read(item, fieldPath(field) + "[" + items.size() + "]"));
		}
		return items;
	}

	private String fieldPath(String field) {
		return childPath(this.path, field);
	}

	/**
	 * Reads a list item.
	 *
	 * @param <T> the type of the value
	 */
	private interface ItemReader<T> {

		T read(ConfigNode item, String itemPath);

	}

}
