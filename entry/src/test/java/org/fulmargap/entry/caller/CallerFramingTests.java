package org.fulmargap.entry.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.regex.Pattern;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import org.fulmargap.catalog.RequestLimits;
import org.fulmargap.entry.LoopStalls;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatExceptionOfType;

/**
 * Guards against answers that a caller takes for those to other requests of its
 * connection, and against bodies that are read as requests.
 */
class CallerFramingTests {

	private static final int MAX_BODY_BYTES = 1_000;

	private static final int TIMEOUT_MS = 10_000;

	private static final long WORK_MS = 200;

	private static final String HOST = " HTTP/1.1\r\nHost: h\r\n";

	private static final String GET_SLOW = "GET /slow" + HOST + "\r\n";

	private static final String GET_LAST = "GET /last" + HOST + "Connection: close\r\n\r\n";

	private static final String SMUGGLED = "GET /smuggled" + HOST + "\r\n";

	private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.1 (\\d{3}) ");

	private final MultiThreadIoEventLoopGroup group = new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());

	private final EventLoop loop = (EventLoop) this.group.next();

	/** The path and the body of each request. */
	private final List<String> handled = new CopyOnWriteArrayList<>();

	private int port;

	@BeforeEach
	void start() throws Exception {
		try (ServerSocket free = new ServerSocket(0)) {
			this.port = free.getLocalPort();
		}
		RequestLimits limits = new RequestLimits(16_384, MAX_BODY_BYTES, 3_000, 15_000);
		new CallerServer(this.loop, System::currentTimeMillis, new LoopStalls(this.loop, System::currentTimeMillis),
				() -> limits, this::handle)
			.listen("127.0.0.1:" + this.port);
	}

	@AfterEach
	void stop() {
		this.group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
	}

	private CallerListener handle(FullHttpRequest request, CallerExchange exchange) {
		String path = request.uri();
		this.handled.add(path + '#' + request.content().toString(StandardCharsets.US_ASCII));
		request.release();
		if (path.equals("/slow")) {
			this.loop.schedule(() -> exchange.answer(200, new DefaultHttpHeaders(), text(path)), WORK_MS,
					TimeUnit.MILLISECONDS);
		}
		else if (path.equals("/stream")) {
			exchange.begin(200, new DefaultHttpHeaders());
			exchange.write(text("begin,"));
			this.loop.schedule(() -> {
				exchange.write(text("end"));
				exchange.end();
			}, WORK_MS, TimeUnit.MILLISECONDS);
		}
		else if (path.equals("/aborted")) {
			exchange.begin(200, new DefaultHttpHeaders());
			exchange.write(text("begin,"));
			this.loop.schedule(exchange::abort, WORK_MS, TimeUnit.MILLISECONDS);
		}
		else {
			exchange.answer(200, new DefaultHttpHeaders(), text(path));
		}
		return null;
	}

	private static ByteBuf text(String text) {
		return Unpooled.copiedBuffer(text, StandardCharsets.US_ASCII);
	}

	// Sends bytes and returns all that is received before the connection is closed.
	private String exchange(String... parts) throws IOException, InterruptedException {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress("127.0.0.1", this.port), TIMEOUT_MS);
			socket.setSoTimeout(TIMEOUT_MS);
			for (String part : parts) {
				socket.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
				Thread.sleep(WORK_MS / 4);
			}
			return new String(socket.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
		}
	}

	private static List<String> statuses(String received) {
		return STATUS_LINE.matcher(received).results().map((match) -> match.group(1)).toList();
	}

	private static String post(String headers) {
		return "POST /post" + HOST + headers + "\r\n";
	}

	private static String chunk(String body) {
		return Integer.toHexString(body.length()) + "\r\n" + body + "\r\n";
	}

	@Nested
	class RequestBehindAnother {

		private static final String TOO_LARGE = "Content-Length: " + (MAX_BODY_BYTES + 1) + "\r\n";

		@ParameterizedTest
		@ValueSource(strings = { TOO_LARGE, TOO_LARGE + "Expect: 100-continue\r\n" })
		void theRefusalOfALargeBodyFollowsTheAnswerBefore(String headers) throws Exception {
			String received = exchange(GET_SLOW, post(headers + "Connection: close\r\n"));
			assertThat(statuses(received)).containsExactly("200", "413");
			assertThat(received).contains("/slow");
		}

		@Test
		void theRefusalOfALargeBodyInChunksFollowsTheAnswerBefore() throws Exception {
			String received = exchange(GET_SLOW, post("Transfer-Encoding: chunked\r\n"),
					chunk("x".repeat(MAX_BODY_BYTES)) + chunk("x"), "0\r\n\r\n" + GET_LAST);
			assertThat(statuses(received).subList(0, 2)).containsExactly("200", "413");
		}

		@ParameterizedTest
		@ValueSource(strings = { TOO_LARGE, "Content-Length: 1\r\nExpect: 100-continue\r\n",
				"Content-Length: 1\r\nExpect: other\r\n" })
		void anAnswerInPartsIsNotBrokenOff(String headers) throws Exception {
			String received = exchange("GET /stream" + HOST + "\r\n", post(headers + "Connection: close\r\n"), "x");
			assertThat(received).startsWith("HTTP/1.1 200 ").contains(chunk("begin,") + chunk("end") + "0\r\n\r\n");
		}

		@Test
		void allRequestsOfALongPipelineAreAnswered() throws Exception {
			String received = exchange(GET_SLOW.repeat(20) + GET_LAST);
			assertThat(statuses(received)).hasSize(21);
		}

		@ParameterizedTest
		@ValueSource(strings = { "\0\1\2 / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\nHost h\r\n\r\n",
				"POST /post" + HOST + "Transfer-Encoding: chunked\r\n\r\nzz\r\n\r\n",
				"POST /post" + HOST + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nxx" })
		void theRefusalOfAMalformedRequestFollowsTheAnswerBeforeAndIsTheLast(String malformed) throws Exception {
			String received = exchange(GET_SLOW, malformed + SMUGGLED);
			assertThat(statuses(received)).containsExactly("200", "400");
			assertThat(CallerFramingTests.this.handled).containsExactly("/slow#");
		}

	}

	@Nested
	class Bodies {

		private final List<String> handled = CallerFramingTests.this.handled;

		@ParameterizedTest
		@ValueSource(strings = { "gzip", "identity", "chunked, gzip", "xchunked" })
		void aBodyInAnUnknownCodingIsNotReadAsARequest(String coding) throws Exception {
			String received = exchange(post("Transfer-Encoding: " + coding + "\r\n") + SMUGGLED + GET_LAST);
			assertThat(statuses(received)).containsExactly("400");
			assertThat(this.handled).isEmpty();
		}

		@Test
		void aBodyInChunksWithALengthBesidesIsNotReadAsARequest() throws Exception {
			String received = exchange(post("Transfer-Encoding: chunked\r\nContent-Length: 4\r\n") + chunk(SMUGGLED)
					+ "0\r\n\r\n" + GET_LAST);
			assertThat(statuses(received)).first().isIn("200", "400");
			assertThat(this.handled).doesNotContain("/smuggled#");
		}

		@Test
		void theRestOfARefusedBodyIsNotReadAsARequest() throws Exception {
			String body = SMUGGLED.repeat(MAX_BODY_BYTES);
			String received = exchange(post("Content-Length: " + body.length() + "\r\n"), body.substring(0, 7),
					body.substring(7) + GET_LAST);
			assertThat(statuses(received)).containsExactly("413", "200");
			assertThat(this.handled).containsExactly("/last#");
		}

		@Test
		void theRestOfARefusedBodyInChunksIsNotReadAsARequest() throws Exception {
			String received = exchange(post("Transfer-Encoding: chunked\r\n"), chunk(SMUGGLED).repeat(MAX_BODY_BYTES),
					"0\r\n\r\n" + GET_LAST);
			assertThat(statuses(received)).first().isEqualTo("413");
			assertThat(this.handled).doesNotContain("/smuggled#");
		}

		@Test
		void aBodyThatMayStillFollowARefusalIsNotReadAsARequest() throws Exception {
			String received = exchange(post("Content-Length: " + (MAX_BODY_BYTES + 1) + "\r\nExpect: 100-continue\r\n")
					+ SMUGGLED + GET_LAST);
			assertThat(statuses(received)).containsExactly("413");
			assertThat(this.handled).isEmpty();
		}

	}

	@Nested
	class CallerWithoutChunks {

		@Test
		void theEndOfTheConnectionEndsAnAnswerInParts() throws Exception {
			String received = exchange("GET /stream HTTP/1.0\r\nHost: h\r\n\r\n");
			assertThat(received).startsWith("HTTP/1.1 200 ")
				.doesNotContainIgnoringCase("chunked")
				.endsWith("\r\n\r\nbegin,end");
		}

		@Test
		void anAnswerThatIsBrokenOffIsReset() {
			assertThatExceptionOfType(SocketException.class)
				.isThrownBy(() -> exchange("GET /aborted HTTP/1.0\r\nHost: h\r\n\r\n"));
		}

	}

}
