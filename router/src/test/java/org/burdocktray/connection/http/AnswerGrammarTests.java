package org.burdocktray.connection.http;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpMethod;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

/**
 * Guards against bytes that are taken for an answer though the grammar of HTTP/1.1 does
 * not allow them, and against sound answers that are refused.
 */
class AnswerGrammarTests {

	private static final String HEAD = "HTTP/1.1 200 OK\r\n";

	private final AnswerGrammar grammar = new AnswerGrammar();

	/** Reads the same byte by byte. */
	private final AnswerGrammar slowGrammar = new AnswerGrammar();

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 100 ", "HTTP/1.1 200", "HTTP/1.0 404 Not Found", "HTTP/1.1 599 ",
			"HTTP/1.1 503 Bient\u00f4t \tde retour", "HTTP/1.1 299 4" })
	void acceptsStatusLine(String line) {
		read(line + "\r\nContent-Length: 0\r\n\r\n");
		read(line + "\nContent-Length: 0\n\n");
	}

	@ParameterizedTest
	@ValueSource(strings = { "HTTP/1.1 000 ", "HTTP/1.1 099 ", "HTTP/1.1 20 OK", "HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK",
			"HTTP/1.1 2000 OK", "HTTP/1.1 0200 OK", "HTTP/1.1 600 ", "HTTP/1.1 999 ", "HTTP/1.1 2 0", "HTTP/1.1 2x0 OK",
			"HTTP/1.1 200OK", "HTTP/1.1 200\tOK", "HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK",
			"HTTP/1.1 ", "HTTP/1.1", "HTTP/1.x 200 OK", "HTTP/2.0 200 OK", "HTTP/11 200 OK", "HTTP/1.1.1 200 OK",
			"http/1.1 200 OK", "HTTP 200 OK", "200 OK", "HTTP/1.1 200 O\u0000K", "HTTP/1.1 200 O\rK",
			"HTTP/1.1 200 OK\u007f", "HTTP/1.1 \u00b2\u00b3\u00b9 OK", "HTTP/1.1 101 Switching Protocols" })
	void refusesStatusLine(String line) {
		assertRefused(line + "\r\nContent-Length: 0\r\n\r\n");
	}

	@ParameterizedTest
	@ValueSource(strings = { "a:b", "A: b", "!#$%&'*+-.^_`|~09: \t x \t", "x:", "Note: \u00e9\u00ff", "x: a:b" })
	void acceptsField(String line) {
		read(HEAD + line + "\r\nContent-Length: 0\r\n\r\n");
		read(HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + line + "\r\n\r\n");
	}

	@ParameterizedTest
	@ValueSource(strings = { "X Note: a", "X\tNote: a", "X-Note : a", "X-Note\t: a", " X-Note: a", "\tX-Note: a", ": a",
			"X-Note", "X\u0001Note: a", "X\u0000: a", "X\u007f: a", "X\u00e9: a", "X(y): a", "X/y: a", "\"X\": a",
			"X-Note: a\u0000b", "X-Note: a\rb", "X-Note: a\u0001", "X-Note: a\u007f", "X-Note: a\r\n folded",
			"X-Note: a\r\n\tfolded" })
	void refusesField(String line) {
		assertRefused(HEAD + line + "\r\nContent-Length: 0\r\n\r\n");
		assertRefused(HEAD + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + line + "\r\n\r\n");
	}

	@ParameterizedTest
	@ValueSource(strings = { "Content-Length: +3", "Content-Length: -3", "Content-Length: 3 3", "Content-Length: 3, 3",
			"Content-Length: 0x3", "Content-Length: 3.0", "Content-Length:", "Content-Length: 3a",
			"Content-Length: 3\r\nContent-Length: 3", "Content-Length: 3\r\ncontent-length: 4",
			"Content-Length: 9999999999999999999", "Content-Length : 3",
			"Content-Length: 3\r\nTransfer-Encoding: chunked", "Transfer-Encoding: gzip",
			"Transfer-Encoding: gzip, chunked", "Transfer-Encoding: xchunked", "Transfer-Encoding: identity",
			"Transfer-Encoding: chunked, chunked", "Transfer-Encoding:",
			"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked" })
	void refusesLengthThatLeavesTheEndInDoubt(String fields) {
		assertRefused(HEAD + fields + "\r\n\r\nabc");
	}

	@Test
	void refusesChunksOfAVersionWithoutThem() {
		assertRefused("HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
	}

	@ParameterizedTest
	@ValueSource(strings = { "3\r\nabc\r\n", "03\r\nabc\r\n", "3;x=y\r\nabc\r\n", "3 ; x = \"y z\"\r\nabc\r\n",
			"3  \r\nabc\r\n", "a\r\n0123456789\r\n", "A\r\n01234\r\n789\r\n" })
	void acceptsChunk(String chunk) {
		read(HEAD + "Transfer-Encoding: Chunked\r\n\r\n" + chunk + "0\r\n\r\n");
		read(HEAD + "Content-Length: 0\r\n\r\n");
		assertThat(this.grammar.endsWithConnection()).isFalse();
	}

	@ParameterizedTest
	@ValueSource(strings = { "\r\nabc\r\n", "-3\r\nabc\r\n", "+3\r\nabc\r\n", "0x3\r\nabc\r\n", "3g\r\nabc\r\n",
			"3 3\r\nabc\r\n", " 3\r\nabc\r\n", "g\r\nabc\r\n", "3\r\nabcd\r\n", "3\r\nabcd\n", "3\r\nab\r\n0\r\n\r\n",
			"3\nabc\r\n", "3\r\nabc\n", "3;x\u0000\r\nabc\r\n", "3;x\ry\r\nabc\r\n", "1000000000000000\r\nabc\r\n" })
	void refusesChunk(String chunk) {
		assertRefused(HEAD + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n");
	}

	@Test
	void followsAnswersWhoseBodiesLookLikeHeads() {
		read("HTTP/1.1 100 Continue\r\n\r\n" + HEAD + "Content-Length: 12\r\n\r\nHTTP/1.1 000");
		onRequest(HttpMethod.HEAD);
		read(HEAD + "Content-Length: 12\r\n\r\n");
		read("HTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 304 Not Modified\r\nContent-Length: 12\r\n\r\n");
		read("\r\n" + HEAD + "\r\nHTTP/1.1 000\r\n");
		assertThat(this.grammar.endsWithConnection()).isTrue();
	}

	@Test
	void methodOfARequestBelongsToItsFinalAnswer() {
		onRequest(HttpMethod.HEAD);
		onRequest(HttpMethod.GET);
		read("HTTP/1.1 103 Early Hints\r\n\r\n" + HEAD + "Content-Length: 3\r\n\r\n");
		read(HEAD + "Content-Length: 3\r\n\r\nabc" + HEAD + "Content-Length: 0\r\n\r\n");
	}

	@Test
	void boundsLines() {
		assertThatThrownBy(() -> {
			for (int count = 0; count < 100; count++) {
				readAtOnce("x".repeat(1_000));
			}
		}).isInstanceOf(InvalidAnswerException.class);
	}

	private void onRequest(HttpMethod method) {
		this.grammar.onRequest(method);
		this.slowGrammar.onRequest(method);
	}

	private static void assertRefused(String text) {
		assertThatThrownBy(() -> readAtOnce(new AnswerGrammar(), text)).isInstanceOf(InvalidAnswerException.class);
		AnswerGrammar byteByByte = new AnswerGrammar();
		assertThatThrownBy(() -> readByteByByte(byteByByte, text)).isInstanceOf(InvalidAnswerException.class);
	}

	private void read(String text) {
		readAtOnce(text);
		readByteByByte(this.slowGrammar, text);
	}

	private void readAtOnce(String text) {
		readAtOnce(this.grammar, text);
	}

	private static void readByteByByte(AnswerGrammar reader, String text) {
		text.chars().forEach((character) -> readAtOnce(reader, String.valueOf((char) character)));
	}

	private static void readAtOnce(AnswerGrammar reader, String text) {
		ByteBuf bytes = Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1);
		int index = 0;
		while (index < bytes.writerIndex()) {
			index = reader.read(bytes, index);
		}
	}

}
