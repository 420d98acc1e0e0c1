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
 * Typed access to the fields of one object of a configuration file.
 *
 * Each access checks the field and notes a fault when it is missing, has another type or
 * is out of range; it then returns a stand-in value so that the rest of the object can be
 * checked. Invariant: a stand-in leaves {@link ConfigFile} only with a fault beside it,
 * and so never reaches the caller. Thread safety: confined to the thread that reads the
 * file.
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
	 * Reads a text that is not blank.
	 * @param field the name of the field
	 * @return the text
	 */
	public String text(String field) {
		return matching(field, NOT_BLANK, "a text that is not blank");
	}

	/**
	 * Reads a name.
	 * @param field the name of the field
	 * @return the name
	 */
	public String name(String field) {
		return matching(field, NAME, NAME_DESCRIPTION);
	}

	/**
	 * Reads a name that fits into one segment of a path.
	 * @param field the name of the field
	 * @return the name
	 */
	public String segment(String field) {
		return matching(field, SEGMENT, "a name of 1 to 128 letters, digits or . _ -");
	}

	/**
	 * Reads a text of a given form.
	 * @param field the name of the field
	 * @param form what the whole text must match
	 * @param expected the form in words
	 * @return the text
	 */
	public String matching(String field, Pattern form, String expected) {
		return requireField(field, expected).map((value) -> this.values.text(value, fieldPath(field), form, expected))
			.orElse(ValueChecker.PLACEHOLDER_TEXT);
	}

	/**
	 * Reads a whole number.
	 * @param field the name of the field
	 * @param range the numbers allowed
	 * @return the number
	 */
	public long wholeNumber(String field, NumberRange range) {
		String expected = "a whole number" + FieldUnit.of(field) + " " + range.describe();
		return requireField(field, expected)
			.map((value) -> this.values.wholeNumber(value, fieldPath(field), range, expected))
			.orElse(0L);
	}

	/**
	 * Reads a whole number that may be left out.
	 * @param field the name of the field
	 * @param range the numbers allowed
	 * @param defaultNumber the number of a field that is left out
	 * @return the number
	 */
	public long wholeNumber(String field, NumberRange range, long defaultNumber) {
		return has(field) ? wholeNumber(field, range) : defaultNumber;
	}

	/**
	 * Reads a number.
	 * @param field the name of the field
	 * @param range the numbers allowed
	 * @return the number
	 */
	public double number(String field, NumberRange range) {
		String expected = "a number" + FieldUnit.of(field) + " " + range.describe();
		return requireField(field, expected)
			.map((value) -> this.values.number(value, fieldPath(field), range, expected))
			.orElse(0.0);
	}

	/**
	 * Reads a number that may be left out.
	 * @param field the name of the field
	 * @param range the numbers allowed
	 * @param defaultNumber the number of a field that is left out
	 * @return the number
	 */
	public double number(String field, NumberRange range, double defaultNumber) {
		return has(field) ? number(field, range) : defaultNumber;
	}

	/**
	 * Reads a truth value that may be left out.
	 * @param field the name of the field
	 * @param defaultFlag the value of a field that is left out
	 * @return the value
	 */
	public boolean flag(String field, boolean defaultFlag) {
		if (!has(field)) {
			return defaultFlag;
		}
		return this.values.flag(this.node.fields().get(field), fieldPath(field));
	}

	/**
	 * Reads one of a few words.
	 * @param field the name of the field
	 * @param words the words allowed
	 * @return the word; the first one stands in for a faulty field
	 */
	public String choice(String field, List<String> words) {
		String expected = "one of " + String.join(", ", words);
		return requireField(field, expected)
			.map((value) -> this.values.choice(value, fieldPath(field), words, expected))
			.orElse(words.get(0));
	}

	/**
	 * Reads one of a few words that may be left out.
	 * @param field the name of the field
	 * @param words the words allowed
	 * @param defaultWord the word of a field that is left out
	 * @return the word
	 */
	public String choice(String field, List<String> words, String defaultWord) {
		return has(field) ? choice(field, words) : defaultWord;
	}

	/**
	 * Reads an address.
	 * @param field the name of the field
	 * @return the address
	 */
	public NetworkAddress address(String field) {
		return requireField(field, ValueChecker.ADDRESS_DESCRIPTION)
			.map((value) -> this.values.address(value, fieldPath(field)))
			.orElse(ValueChecker.PLACEHOLDER_ADDRESS);
	}

	/**
	 * Reads a list of addresses that may be left out.
	 * @param field the name of the field
	 * @return the addresses
	 */
	public List<NetworkAddress> addresses(String field) {
		return readItems(field, false, this.values::address);
	}

	/**
	 * Reads a list of texts of a given form.
	 * @param field the name of the field
	 * @param needed whether the list must be given
	 * @param form what each text must match
	 * @param expected the form in words
	 * @return the texts
	 */
	public List<String> texts(String field, boolean needed, Pattern form, String expected) {
		return readItems(field, needed, (item, itemPath) -> this.values.text(item, itemPath, form, expected));
	}

	/**
	 * Reads a list of names that may be left out.
	 * @param field the name of the field
	 * @return the names
	 */
	public List<String> names(String field) {
		return texts(field, false, NAME, NAME_DESCRIPTION);
	}

	/**
	 * Reads a list of objects.
	 * @param <T> what an object describes
	 * @param field the name of the field
	 * @param needed whether the list must be given
	 * @param reader reads one object
	 * @return the entries in file order, those with a fault among them
	 */
	public <T> List<ConfigEntry<T>> entries(String field, boolean needed, Function<ConfigObject, T> reader) {
		return readItems(field, needed, (item, itemPath) -> of(item, itemPath, this.faults)).stream()
			.flatMap(Optional::stream)
			.map((object) -> new ConfigEntry<>(object, object.readEntry(reader)))
			.toList();
	}

	/**
	 * Says whether a field is a list without items.
	 * @param field the name of the field
	 * @return true when it is
	 */
	public boolean isEmptyList(String field) {
		return this.node.fields().get(field) instanceof ConfigNode.ListNode list && list.items().isEmpty();
	}

	/**
	 * Returns the objects of a list without noting any fault.
	 * @param field the name of the list
	 * @return the objects, without items of other types
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
	 * Reads an object that may be left out; a missing one counts as an empty one.
	 * @param <T> what the object describes
	 * @param field the name of the field
	 * @param reader reads the object
	 * @return what was read
	 */
	public <T> T object(String field, Function<ConfigObject, T> reader) {
		ConfigNode empty = new ConfigNode.ObjectNode(this.node.line(), Map.of());
		ConfigNode value = has(field) ? this.node.fields().get(field) : empty;
		ConfigObject object = of(value, fieldPath(field), this.faults)
			.orElseGet(() -> new ConfigObject((ConfigNode.ObjectNode) empty, fieldPath(field), this.faults));
		return object.readStrictly(reader);
	}

	/**
	 * Says whether the file gives a field, and marks the field as known.
	 * @param field the name of the field
	 * @return true when the file gives it
	 */
	public boolean has(String field) {
		this.knownFields.add(field);
		return this.node.fields().containsKey(field);
	}

	/**
	 * Returns the text of a field without noting any fault.
	 * @param field the name of the field
	 * @return the text, or empty when the field is missing or no text
	 */
	public Optional<String> peekText(String field) {
		return Optional.ofNullable(this.node.fields().get(field))
			.filter(ConfigNode.TextNode.class::isInstance)
			.map((value) -> ((ConfigNode.TextNode) value).value());
	}

	/**
	 * Notes a fault of a field.
	 * @param field the name of the field
	 * @param expected what it must be
	 * @param found what it is
	 */
	public void addFault(String field, String expected, String found) {
		ConfigNode at = this.node.fields().getOrDefault(field, this.node);
		this.faults.add(at.line(), fieldPath(field), expected, found);
	}

	/**
	 * Notes a fault of one item of a list.
	 * @param field the name of the list
	 * @param index the index of the item
	 * @param expected what it must be
	 * @param found what it is
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

	private <T> List<T> readItems(String field, boolean needed, ItemReader<T> reader) {
		if (!has(field) && !needed) {
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
	 * Reads one item of a list.
	 *
	 * @param <T> what the item describes
	 */
	private interface ItemReader<T> {

		T read(ConfigNode item, String itemPath);

	}

}
