package org.fulmargap.standin;

import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;

import com.fasterxml.jackson.core.JsonProcessingException;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.io.Content;
import org.eclipse.jetty.io.EndPoint;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.eclipse.jetty.util.Promise;

/**
 * One HTTP request and its answer. All methods return without waiting, so that many
 * requests can wait for their answer with few threads.
 */
final class Exchange {

	private static final int MAX_BODY_BYTES = 4 * 1024 * 1024;

	private final Request request;

	private final Response response;

	private final Callback callback;

	private final HttpServer server;

	private final AtomicBoolean ended = new AtomicBoolean();

	Exchange(HttpServer server, Request request, Response response, Callback callback) {
		this.server = server;
		this.request = request;
		this.response = response;
		this.callback = callback;
	}

	String method() {
		return this.request.getMethod();
	}

	String path() {
		return this.request.getHttpURI().getDecodedPath();
	}

	String header(String name) {
		return this.request.getHeaders().get(name);
	}

	String query(String name) {
		return Request.extractQueryParameters(this.request).getValue(name);
	}

	long query(String name, long defaultValue) {
		String value = query(name);
		return (value != null) ? Long.parseLong(value) : defaultValue;
	}

	InetSocketAddress remoteAddress() {
		return (InetSocketAddress) this.request.getConnectionMetaData().getRemoteSocketAddress();
	}

	int localPort() {
		return ((InetSocketAddress) this.request.getConnectionMetaData().getLocalSocketAddress()).getPort();
	}

	EndPoint connection() {
		return this.request.getConnectionMetaData().getConnection().getEndPoint();
	}

	/**
	 * Tells whether the connection has gone silent: nothing that is written arrives.
	 * Control requests are exempt, so that faults can be switched off again.
	 * @return {@code true} if answers must be swallowed
	 */
	boolean isSilent() {
		return this.server.isSilent(connection()) && !path().startsWith("/control/");
	}

	CompletableFuture<byte[]> body() {
		CompletableFuture<byte[]> body = new CompletableFuture<>();
		Content.Source.asByteArrayAsync(this.request, MAX_BODY_BYTES, new Promise.Invocable<>() {
			@Override
			public void succeeded(byte[] bytes) {
				body.complete(bytes);
			}

			@Override
			public void failed(Throwable failure) {
				body.completeExceptionally(failure);
			}
		});
		return body;
	}

	Exchange answerHeader(String name, String value) {
		this.response.getHeaders().put(name, value);
		return this;
	}

	void answer(int status, Object value) {
		answer(status, json(value));
	}

	void answer(int status, byte[] body) {
		answer(status, body, Callback.NOOP);
	}

	/**
	 * Sends a whole answer.
	 * @param status the HTTP status
	 * @param body a JSON text
	 * @param afterwards told when the answer has been written
	 */
	void answer(int status, byte[] body, Callback afterwards) {
		if (isSilent() || !this.ended.compareAndSet(false, true)) {
			return;
		}
		this.response.setStatus(status);
		this.response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
		this.response.getHeaders().put(HttpHeader.CONTENT_LENGTH, body.length);
		this.response.write(true, ByteBuffer.wrap(body), Callback.from(this.callback, afterwards::succeeded));
	}

	void error(int status, String type, String message) {
		answer(status, new ErrorBody(new ErrorBody.Detail(type, message)));
	}

	void startEvents() {
		this.response.setStatus(200);
		this.response.getHeaders().put(HttpHeader.CONTENT_TYPE, "text/event-stream");
	}

	/**
	 * Writes one server-sent event.
	 * @param name the name of the event
	 * @param value the data, written as JSON
	 * @param written told when the event has been written, or that the caller is gone
	 */
	void event(String name, Object value, Callback written) {
		if (isSilent()) {
			written.succeeded();
			return;
		}
		String text = "event: " + name + "\ndata: " + new String(json(value), StandardCharsets.UTF_8) + "\n\n";
		this.response.write(false, ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)), written);
	}

	void endEvents() {
		if (!isSilent() && this.ended.compareAndSet(false, true)) {
			this.response.write(true, ByteBuffer.allocate(0), this.callback);
		}
	}

	/**
	 * Sends the first part of an answer and closes the connection.
	 * @param part the part that is sent
	 * @param length the length that the answer claims to have
	 */
	void answerPart(byte[] part, int length) {
		if (isSilent() || !this.ended.compareAndSet(false, true)) {
			return;
		}
		this.response.setStatus(200);
		this.response.getHeaders().put(HttpHeader.CONTENT_TYPE, "application/json");
		this.response.getHeaders().put(HttpHeader.CONTENT_LENGTH, length);
		this.response.write(false, ByteBuffer.wrap(part), Callback.from(this::closeConnection));
	}

	/**
	 * Returns a callback that sends a second answer on the connection, which a client
	 * without checks takes for the answer to its next request.
	 * @param body the body of the answer
	 * @return the callback
	 */
	Callback duplicate(byte[] body) {
		StringBuilder head = new StringBuilder("HTTP/1.1 200 OK\r\n");
		this.response.getHeaders()
			.forEach((field) -> head.append(field.getName()).append(": ").append(field.getValue()).append("\r\n"));
		head.append("Content-Type: application/json\r\nContent-Length: ").append(body.length).append("\r\n\r\n");
		ByteBuffer headBytes = ByteBuffer.wrap(head.toString().getBytes(StandardCharsets.ISO_8859_1));
		EndPoint connection = connection();
		return Callback.from(() -> connection.write(Callback.NOOP, headBytes, ByteBuffer.wrap(body)));
	}

	/**
	 * Closes the connection. The callback stays open, because its failure would make
	 * Jetty write an error answer.
	 */
	private void closeConnection() {
		connection().close();
	}

	/** Closes the connection without an answer, or without the rest of one. */
	void abort() {
		if (!isSilent() && this.ended.compareAndSet(false, true)) {
			closeConnection();
		}
	}

	static byte[] json(Object value) {
		try {
			return Json.MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	/**
	 * Body of an error answer.
	 *
	 * @param error type and message
	 */
	record ErrorBody(Detail error) {

		/**
		 * Type and message of an error.
		 *
		 * @param type a constant that programs can compare
		 * @param message a text for people
		 */
		record Detail(String type, String message) {
		}

	}

}
