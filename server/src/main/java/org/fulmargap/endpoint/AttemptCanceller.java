package org.fulmargap.endpoint;

import java.io.IOException;
import java.time.Duration;

import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.HttpUrl;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.Response;

/**
 * Cancels attempts at endpoints when their results are no longer needed. A lost message
 * is harmless: the endpoint then finishes the attempt, and its result is not used.
 */
final class AttemptCanceller {

	private final OkHttpClient client;

	AttemptCanceller(OkHttpClient base) {
		this.client = base.newBuilder().callTimeout(Duration.ofSeconds(1)).build();
	}

	void cancel(StageCall stageCall) {
		HttpUrl url = HttpUrl.get(stageCall.url())
			.newBuilder()
			.addPathSegments("v1/attempts")
			.addPathSegments(stageCall.attempt().toString())
			.build();
		this.client.newCall(new Request.Builder().url(url).delete().build()).enqueue(new Callback() {

			@Override
			public void onFailure(Call call, IOException ex) {
				// The endpoint finishes the attempt, and its result is not used.
			}

			@Override
			public void onResponse(Call call, Response response) {
				response.close();
			}

		});
	}

}
