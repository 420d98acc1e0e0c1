package org.burdocktray.standins.service;

import java.io.IOException;
import java.net.http.HttpResponse;

import io.vertx.core.json.JsonObject;
import org.burdocktray.standins.TestHttpClient;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

class ServiceStandInTests {

	private ServiceStandIn service = new ServiceStandIn(false);

	@AfterEach
	void stop() {
		this.service.stop();
	}

	@Test
	void logsEachExecutionOfRepeatedKey() throws Exception {
		this.service.start(0);
		JsonObject first = new JsonObject(deposit("k1").body());
		JsonObject second = new JsonObject(deposit("k1").body());
		assertThat(first.getString("path")).isEqualTo("/deposits?desk=2");
		assertThat(first.getString("idempotencyKey")).isEqualTo("k1");
		assertThat(first.getString("requestId")).isEqualTo("r-k1");
		assertThat(second.getLong("execution")).isEqualTo(2);
		assertThat(new TestHttpClient(this.service).get("/standin/log").body().lines()).hasSize(2);
	}

	@Test
	void executesKeyOnceWithRemovalOfDuplicates() throws Exception {
		this.service = new ServiceStandIn(true);
		this.service.start(0);
		assertThat(deposit("k1").body()).isEqualTo(deposit("k1").body());
		assertThat(this.service.log()).hasSize(1);
	}

	@Test
	void executesCallWhoseResponseIsLost() throws Exception {
		this.service.start(0);
		setFaults(new ServiceFaults(0, 0, 0, 1, false, false, ""));
		assertThatThrownBy(() -> deposit("k1")).isInstanceOf(IOException.class);
		assertThat(this.service.log()).hasSize(1);
	}

	@Test
	void doesNotExecuteDroppedOrRejectedCalls() throws Exception {
		this.service.start(0);
		setFaults(new ServiceFaults(0, 0, 1, 0, true, false, ""));
		assertThatThrownBy(() -> deposit("k1")).isInstanceOf(IOException.class);
		assertThat(deposit("k1").statusCode()).isEqualTo(503);
		assertThat(this.service.log()).isEmpty();
	}

	@Test
	void crashesWhenBodyContainsFaultText() throws Exception {
		this.service.start(0);
		setFaults(new ServiceFaults(0, 0, 0, 0, false, false, "amount"));
		assertThatThrownBy(() -> deposit("k1")).isInstanceOf(IOException.class);
		assertThatThrownBy(() -> new TestHttpClient(this.service).get("/")).isInstanceOf(IOException.class);
	}

	private HttpResponse<String> deposit(String key) throws IOException, InterruptedException {
		return new TestHttpClient(this.service).send("POST", "/deposits?desk=2", new JsonObject().put("amount", 5),
				"Idempotency-Key", key, "X-Request-Id", "r-" + key);
	}

	private void setFaults(ServiceFaults faults) throws IOException, InterruptedException {
		new TestHttpClient(this.service).send("PUT", "/standin/faults", faults);
	}

}
