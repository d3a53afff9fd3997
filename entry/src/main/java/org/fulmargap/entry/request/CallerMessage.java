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
 * The HTTP request of a caller, retained until it is finished so that it can be sent to
 * several endpoints in turn. Confined to the event loop.
 */
final class CallerMessage implements AutoCloseable {

	private final HttpMethod method;

	private final String uri;

	private final HttpHeaders headers;

	private final ByteBuf body;

	/**
	 * Creates a message.
	 * @param http the request of the caller; its body is retained until {@link #close}
	 */
	CallerMessage(FullHttpRequest http) {
		this.method = http.method();
		this.uri = http.uri();
		this.headers = http.headers();
		this.body = http.content().retain();
	}

	/**
	 * Returns whether the answer has no body.
	 * @return {@code true} if the method is HEAD
	 */
	boolean isHead() {
		return this.method.equals(HttpMethod.HEAD);
	}

	/**
	 * Creates the request to an endpoint.
	 * @param added the headers that the entry VM sets; they replace those of the caller
	 * @return the request, with the added headers and those of the caller that don't end
	 * at the entry VM
	 */
	FullHttpRequest toEndpoint(List<Header> added) {
		FullHttpRequest http = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, this.method, this.uri,
				this.body.retainedDuplicate());
		Set<String> options = connectionOptions();
		this.headers.forEach((header) -> {
			boolean forwarded = CallerHeaders.isPassedOn(header.getKey());
			if (forwarded && !options.contains(header.getKey().toLowerCase(Locale.ROOT))) {
				http.headers().add(header.getKey(), header.getValue());
			}
		});
		added.forEach((header) -> http.headers().set(header.name(), header.value()));
		if (hasBody()) {
			http.headers().set(HttpHeaderNames.CONTENT_LENGTH, this.body.readableBytes());
		}
		return http;
	}

	// The headers that the caller's Connection header limits to its own connection.
	private Set<String> connectionOptions() {
		Set<String> options = new HashSet<>();
		for (String value : this.headers.getAll(HttpHeaderNames.CONNECTION)) {
			for (String name : value.split(",")) {
				options.add(name.trim().toLowerCase(Locale.ROOT));
			}
		}
		return options;
	}

	private boolean hasBody() {
		return this.body.isReadable() || this.headers.contains(HttpHeaderNames.CONTENT_LENGTH)
				|| this.headers.contains(HttpHeaderNames.TRANSFER_ENCODING);
	}

	/**
	 * Returns the headers of an endpoint's response that are forwarded to the caller.
	 * @param received the headers of the response
	 * @return the headers without those that end at the entry VM
	 */
	static HttpHeaders toCaller(HttpHeaders received) {
		HttpHeaders forwarded = DefaultHttpHeadersFactory.headersFactory().newHeaders();
		received.forEach((header) -> {
			if (CallerHeaders.isPassedOn(header.getKey())) {
				forwarded.add(header.getKey(), header.getValue());
			}
		});
		return forwarded;
	}

	@Override
	public void close() {
		this.body.release();
	}

}
