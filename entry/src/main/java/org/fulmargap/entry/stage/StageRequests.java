package org.fulmargap.entry.stage;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.fulmargap.platform.EndpointHeaders;

/**
 * Builds the HTTP requests of stage calls.
 */
final class StageRequests {

	private StageRequests() {
	}

	static FullHttpRequest post(String address, String path, byte[] body, String endpointId) {
		FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, path,
				Unpooled.wrappedBuffer(body));
		request.headers()
			.set(HttpHeaderNames.HOST, address)
			.set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON)
			.set(HttpHeaderNames.CONTENT_LENGTH, body.length);
		if (endpointId != null) {
			request.headers().set(EndpointHeaders.EXPECTED_ENDPOINT, endpointId);
		}
		return request;
	}

}
