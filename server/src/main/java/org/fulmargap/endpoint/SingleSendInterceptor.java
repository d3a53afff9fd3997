package org.fulmargap.endpoint;

import java.io.IOException;

import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Ensures that a stage call sends its request at most once. OkHttp retries a request by
 * itself after a 503 with {@code Retry-After: 0}, even if connection retries are
 * disabled, so this header is removed from responses.
 */
final class SingleSendInterceptor implements Interceptor {

	private static final String RETRY_AFTER = "Retry-After";

	@Override
	public Response intercept(Chain chain) throws IOException {
		DispatchTracker tracker = chain.request().tag(DispatchTracker.class);
		if (tracker != null && tracker.mayHaveSent()) {
			throw new IOException("the HTTP client tried to send the request again");
		}
		Response response = chain.proceed(chain.request());
		if (response.header(RETRY_AFTER) != null) {
			return response.newBuilder().removeHeader(RETRY_AFTER).build();
		}
		return response;
	}

}
