package org.fulmargap.entry.request;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.fulmargap.platform.CallerHeaders;
import org.fulmargap.platform.Header;

/**
 * The HTTP message of a caller, kept until its request is over so that it can be sent to
 * endpoints. Confined to the event loop.
 */
final class CallerMessage implements AutoCloseable {

	private final HttpMethod method;

	private final String uri;

	private final HttpHeaders headers;

	private final ByteBuf body;

	/**
	 * Keeps a message.
	 * @param http the message; its body is retained
	 */
	CallerMessage(FullHttpRequest http) {
		this.method = http.method();
		this.uri = http.uri();
		this.headers = http.headers();
		this.body = http.content().retain();
	}

	/**
	 * Creates the request to an endpoint.
	 * @param added the headers that the entry VM sets
	 * @return the request with all headers that concern more than one connection
	 */
	FullHttpRequest toEndpoint(List<Header> added) {
		FullHttpRequest http = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.method, this.uri,
				this.body.retainedDuplicate());
		Set<String> named = namedByConnection();
		this.headers.forEach((header) -> {
			boolean passedOn = CallerHeaders.isPassedOn(header.getKey());
			if (passedOn && !named.contains(header.getKey().toLowerCase(Locale.ROOT))) {
				http.headers().add(header.getKey(), header.getValue());
			}
		});
		added.forEach((header) -> http.headers().set(header.name(), header.value()));
		if (hasBody()) {
			http.headers().set(HttpHeaderNames.CONTENT_LENGTH, this.body.readableBytes());
		}
		return http;
	}

	// The headers that the caller declares to concern its connection only.
	private Set<String> namedByConnection() {
		Set<String> named = new HashSet<>();
		for (String value : this.headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : value.split(",")) {
				named.add(name.trim().toLowerCase(Locale.ROOT));
			}
		}
		return named;
	}

	private boolean hasBody() {
		return this.body.isReadable() || this.headers.contains(HttpHeaderNames.CONTENT_LENGTH)
				|| this.headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
	}

	/**
	 * Returns the headers of an answer that go to the caller.
	 * @param answered the headers of the answer
	 * @return those that concern more than one connection
	 */
	static HttpHeaders toCaller(HttpHeaders answered) {
		HttpHeaders passed = DefaultHttpHeadersFactory.headersFactory().newHeaders();
		answered.forEach((header) -> {
			if (CallerHeaders.isPassedOn(header.getKey())) {
				passed.add(header.getKey(), header.getValue());
			}
		});
		return passed;
	}

	@Override
	public void close() {
		this.body.release();
	}

}
