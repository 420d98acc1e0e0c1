package org.burdocktray.version.config;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

import io.vavr.control.Either;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests reading JSON with comments, and the text and line of faults.
 */
class ConfigFileTests {

	private static final NumberRange RANGE = NumberRange.of(1, 10);

	@Test
	void allowsCommentsAndTrailingCommas() {
		String text = "{ // one\n /* two */ \"layers\": 3, \n}";
		assertThat(read(text).get()).isEqualTo(3);
	}

	@ParameterizedTest
	@CsvSource(delimiter = '|', quoteCharacter = '`',
			textBlock = """
							                                | f:1: $: expected an object, found an empty file
							[]                              | f:1: $: expected an object, found a list
							{"layers": 3} 7                 | f:1: $: expected the end of the file, found 7
							{"layers": 3, "layers": 3}      | f:1: layers: expected each key once in an object, found a duplicate key
							{"layers": 2.5}                 | f:1: layers: expected a whole number of at least 1 and at most 10, found 2.5
							{"layers": 1e999999}            | f:1: layers: expected a whole number of at least 1 and at most 10, found 1e999999
							{"layers": 1e99999999999}        | f:1: layers: expected a whole number of at least 1 and at most 10, found 1e99999999999
					{"layers": "3"}                 | f:1: layers: expected a whole number of at least 1 and at most 10, found "3"
							{"layers": null}                | f:1: layers: expected a whole number of at least 1 and at most 10, found null
							{}                              | f:1: layers: expected a whole number of at least 1 and at most 10, found no such field
							{"layers": 3, "laiers": 4}      | f:1: laiers: expected a known field, perhaps layers, found the unknown field "laiers"
							""")
	void formatsAFaultAsOneLine(String text, String line) {
		assertThat(read((text != null) ? text : "").getLeft()).map(ConfigFault::toString).containsExactly(line);
	}

	@Test
	void reportsLineAndPathOfASyntaxError() {
		List<ConfigFault> faults = read("{\n \"layers\": 3,\n \"more\": {\n  \"a\": [1,\n   oops]}}").getLeft();
		assertThat(faults).hasSize(1);
		assertThat(faults.get(0)).returns(5, ConfigFault::line)
			.returns("more.a[1]", ConfigFault::fieldPath)
			.returns("valid JSON", ConfigFault::expected);
	}

	@Test
	void reportsAllFaultsInTheOrderOfLines() {
		List<ConfigFault> faults = read("{\n \"wrong\": 1,\n \"layers\": 0,\n \"layers\": 0,\n \"no\": 1\n}").getLeft();
		assertThat(faults).extracting(ConfigFault::line).containsExactly(2, 3, 4, 5);
	}

	@Test
	void reportsAMissingFile(@TempDir Path directory) {
		Path file = directory.resolve("none.jsonc");
		assertThat(ConfigFile.load(file).getLeft()).map(ConfigFault::toString)
			.containsExactly(file + ":1: $: expected a readable file, found no such file");
	}

	@Test
	void reportsAFileThatIsNotUtf8(@TempDir Path directory) throws Exception {
		Path file = Files.write(directory.resolve("latin.jsonc"), new byte[] { '{', (byte) 0xe9, '}' });
		assertThat(ConfigFile.load(file).getLeft().get(0).found()).isEqualTo("bytes that are not UTF-8");
	}

	private static Either<List<ConfigFault>, Long> read(String text) {
		return ConfigFile.read("f", text, (root) -> root.wholeNumber("layers", RANGE));
	}

}
