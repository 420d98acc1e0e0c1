package org.burdocktray.version.bundle;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;

/**
 * Computes the differences between two bundles by field path. List entries are matched by
 * name, links by their data centres and other items by position. Thread safety: an
 * instance is confined to one comparison.
 */
public final class BundleDiff {

	private final List<Change> changes = new ArrayList<>();

	private BundleDiff() {
	}

	/**
	 * Compares two bundles.
	 * @param before the older bundle
	 * @param after the newer bundle
	 * @return the changes ordered by field path
	 */
	public static List<Change> between(Bundle before, Bundle after) {
		BundleDiff diff = new BundleDiff();
		diff.compare("", BundleWriter.toTree(before), BundleWriter.toTree(after));
		return List.copyOf(diff.changes);
	}

	private void compare(String path, JsonNode before, JsonNode after) {
		if (before.equals(after)) {
			return;
		}
		if (before.isContainerNode() && after.isContainerNode()) {
			compareChildren(path, children(before), children(after));
			return;
		}
		this.changes.add(new Change(path, describe(before), describe(after)));
	}

	private void compareChildren(String path, Map<String, JsonNode> before, Map<String, JsonNode> after) {
		Set<String> keys = new TreeSet<>(before.keySet());
		keys.addAll(after.keySet());
		for (String key : keys) {
			compare(join(path, key), before.getOrDefault(key, MissingNode.getInstance()),
					after.getOrDefault(key, MissingNode.getInstance()));
		}
		if (keys.size() == before.size() && before.equals(after)) {
			this.changes.add(new Change(path, "order " + before.keySet(), "order " + after.keySet()));
		}
	}

	private static String join(String path, String key) {
		return (path.isEmpty() || key.startsWith("[")) ? path + key : path + "." + key;
	}

	private static Map<String, JsonNode> children(JsonNode node) {
		Map<String, JsonNode> children = new LinkedHashMap<>();
		if (node.isObject()) {
			node.properties().forEach((field) -> children.put(field.getKey(), field.getValue()));
			return children;
		}
		for (int index = 0; index < node.size(); index++) {
			children.put("[" + key(node.get(index), index) + "]", node.get(index));
		}
		return children;
	}

	private static String key(JsonNode item, int index) {
		if (item.has("name")) {
			return item.get("name").asText();
		}
		if (item.has("from")) {
			return item.get("from").asText() + "->" + item.get("to").asText();
		}
		return String.valueOf(index);
	}

	private static String describe(JsonNode node) {
		return node.isMissingNode() ? "" : node.toString();
	}

	/**
	 * A field that differs between two bundles. Thread safety: immutable.
	 *
	 * @param fieldPath the path of the field
	 * @param before its JSON in the older bundle, empty if it is missing there
	 * @param after its JSON in the newer bundle, empty if it is missing there
	 */
	public record Change(String fieldPath, String before, String after) {

		@Override
		public String toString() {
			if (this.before.isEmpty()) {
				return this.fieldPath + ": added " + this.after;
			}
			if (this.after.isEmpty()) {
				return this.fieldPath + ": removed " + this.before;
			}
			return this.fieldPath + ": " + this.before + " -> " + this.after;
		}

	}

}
