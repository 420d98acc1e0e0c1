package org.burdocktray.bench.slopes;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;

import org.burdocktray.model.NetworkAddress;

/**
 * Queries a router's readiness endpoint. Thread safety: immutable.
 */
final class ReadyCheck {

	private static final HttpClient CLIENT = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

	private static final int STATUS_OK = 200;

	private final HttpRequest request;

	ReadyCheck(NetworkAddress callerAddress) {
		this.request = HttpRequest.newBuilder(URI.create("http://" + callerAddress + "/readyz")).build();
	}

	boolean isReady() {
		try {
			return CLIENT.send(this.request, HttpResponse.BodyHandlers.discarding()).statusCode() == STATUS_OK;
		}
		catch (IOException ex) {
			return false;
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
