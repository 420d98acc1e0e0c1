package org.burdocktray.standins.model;

import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;

class ReferenceModelTests {

	private static final ModelIdentity IDENTITY = new ModelIdentity("panel-7b", "3", "");

	private static final int LAYERS = 6;

	@Test
	void generatesSameResponseEachTime() {
		ReferenceModel model = new ReferenceModel(IDENTITY, LAYERS);
		assertThat(model.generate("which desk goes", 40)).isEqualTo(model.generate("which desk goes", 40));
	}

	@ParameterizedTest
	@CsvSource({ "panel-7b,4,'',6", "panel-8b,3,'',6", "panel-7b,3,nl,6", "panel-7b,3,'',5" })
	void generatesDifferentResponsesForDifferentModels(String model, String modelVersion, String adapter, int layers) {
		ReferenceModel other = new ReferenceModel(new ModelIdentity(model, modelVersion, adapter), layers);
		ReferenceResponse response = new ReferenceModel(IDENTITY, LAYERS).generate("which desk goes", 40);
		assertThat(other.generate("which desk goes", 40).tokens()).isNotEqualTo(response.tokens());
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "one", " two  words ", "a\n\tb" })
	void joinedTokensEqualTheText(String text) {
		assertThat(String.join("", Tokens.split(text))).isEqualTo(text);
	}

	@Test
	void endsSomeResponsesByStopAndOthersByLength() {
		ReferenceModel model = new ReferenceModel(IDENTITY, LAYERS);
		List<ReferenceResponse> responses = IntStream.range(0, 50)
			.mapToObj((number) -> model.generate("prompt " + number, 64))
			.toList();
		assertThat(responses).extracting(ReferenceResponse::finishReason).contains("stop", "length");
		assertThat(responses).filteredOn((response) -> response.finishReason().equals("stop"))
			.allMatch((response) -> response.text().endsWith(Tokens.STOP));
	}

	@Test
	void runningPositionTwiceChangesLaterOutput() {
		LayerRangeState once = LayerRangeState.initial(IDENTITY, 0, LAYERS);
		LayerRangeState twice = LayerRangeState.initial(IDENTITY, 0, LAYERS);
		once.run(1);
		twice.run(1);
		twice.run(1);
		assertThat(twice.run(2)).isNotEqualTo(once.run(2));
	}

}
