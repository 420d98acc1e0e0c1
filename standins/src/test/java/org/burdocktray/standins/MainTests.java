package org.burdocktray.standins;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

import io.vertx.core.json.JsonObject;
import org.apache.commons.cli.ParseException;
import org.burdocktray.standins.model.ReferenceModel;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class MainTests {

	private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

	private final PrintStream output = new PrintStream(this.bytes, true, StandardCharsets.UTF_8);

	@ParameterizedTest
	@ValueSource(strings = { "platform", "engine", "service" })
	void printsListenAddress(String command) throws Exception {
		HttpStandIn standIn = Main.run(new String[] { command, "--port", "0" }, this.output, MainTests::ignoreCrash)
			.orElseThrow();
		JsonObject line = new JsonObject(this.bytes.toString(StandardCharsets.UTF_8));
		assertThat(line.getBoolean("ready")).isTrue();
		assertThat(line.getString("address")).isEqualTo(standIn.address());
		assertThat(new TestHttpClient(standIn).get("/standin/faults").statusCode()).isEqualTo(200);
		standIn.stop();
	}

	@Test
	void printsReferenceResponse() throws Exception {
		Main.run("reference --model m --model-version 2 --to-layer 6 --max-tokens 9 --prompt hello".split(" "),
				this.output, MainTests::ignoreCrash);
		JsonObject line = new JsonObject(this.bytes.toString(StandardCharsets.UTF_8));
		assertThat(line.getJsonArray("tokens").getList())
			.isEqualTo(new ReferenceModel("m", "2", 6).generate("hello", 9).tokens());
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "other", "platform engine", "engine --from-layer x", "engine --unknown 1" })
	void rejectsInvalidCommandLine(String line) {
		assertThatThrownBy(() -> Main.run(line.split(" "), this.output, MainTests::ignoreCrash))
			.isInstanceOf(ParseException.class);
	}

	private static void ignoreCrash() {
	}

}
