package org.burdocktray.process.cli;

import java.io.IOException;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.jboss.logmanager.ExtLogRecord;
import org.jboss.logmanager.Level;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * The format of log lines.
 */
class LogSetupTests {

	@Test
	void formatsRecordAsOneLineOfJson() throws IOException {
		ExtLogRecord logged = new ExtLogRecord(Level.WARN, "two\nlines", LogSetupTests.class.getName());
		logged.setLoggerName("org.burdocktray");
		logged.setThrown(new IllegalStateException("broken"));
		String line = LogSetup.createFormatter().format(logged);
		assertThat(line.trim().lines()).hasSize(1);
		JsonNode json = new ObjectMapper().readTree(line);
		assertThat(json.get("level").asText()).isEqualTo("WARN");
		assertThat(json.get("message").asText()).isEqualTo("two\nlines");
		assertThat(json.get("stackTrace").asText()).contains("IllegalStateException: broken");
	}

}
