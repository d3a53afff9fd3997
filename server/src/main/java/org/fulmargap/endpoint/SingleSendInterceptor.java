package org.fulmargap.endpoint;

import java.io.IOException;

import okhttp3.Interceptor;
import okhttp3.Response;

/**
 * Makes sure that one call sends its request at most once. OkHttp repeats a request on
 * its own after a 503 with {@code Retry-After: 0}, also with connection retries switched
 * off, so the header is hidden from it.
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
