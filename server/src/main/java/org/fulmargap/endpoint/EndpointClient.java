package org.fulmargap.endpoint;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.time.Duration;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import okhttp3.Call;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Protocol;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okio.BufferedSource;
import org.fulmargap.config.Json;
import org.fulmargap.routing.CallFailure;
import org.fulmargap.timeline.EventType;
import org.fulmargap.timeline.Timeline;

/**
 * Calls endpoints over HTTP and determines for each failed call whether the endpoint may
 * have run it.
 */
public final class EndpointClient implements AutoCloseable {

	/**
	 * The maximum length of the answer of a stage: of a JSON answer in bytes, of a
	 * streamed answer in characters.
	 */
	static final int MAX_ANSWER_BYTES = 8 << 20;

	/** The network latency to an endpoint is at most a few milliseconds. */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	/**
	 * A dying process closes its sockets one after the other, so a single probe can
	 * arrive before the listening socket is closed.
	 */
	private static final int CRASH_PROBES = 2;

	private static final long CRASH_PROBE_PAUSE_NANOS = 30_000_000;

	private static final MediaType JSON = MediaType.get("application/json");

	private final LongSupplier clock;

	private final Timeline timeline;

	private final MetricRegistry metrics;

	private final OkHttpClient client;

	/**
	 * Opens a new connection for each call that must not be retried. The endpoint may
	 * close a pooled connection just before its use, and the failed call would leave the
	 * outcome unknown.
	 */
	private final OkHttpClient unpooledClient;

	/**
	 * Sends all requests except stage calls. It has its own connections, so that the
	 * responses cannot be mixed up with answers to stage calls.
	 */
	private final OkHttpClient controlClient;

	private final EndpointProbe probe;

	private final AttemptCanceller canceller;

	private final ScheduledExecutorService scheduler;

	/**
	 * Creates a client.
	 * @param clock the source of the current time in milliseconds since the epoch
	 * @param timeline records probes and answers that belong to other attempts
	 * @param metrics counts probes and answers that belong to other attempts
	 * @param maxInFlight the maximum number of concurrent calls
	 */
	public EndpointClient(LongSupplier clock, Timeline timeline, MetricRegistry metrics, int maxInFlight) {
		this.clock = clock;
		this.timeline = timeline;
		this.metrics = metrics;
		Dispatcher dispatcher = new Dispatcher();
		dispatcher.setMaxRequests(maxInFlight);
		dispatcher.setMaxRequestsPerHost(16);
		this.client = new OkHttpClient.Builder().dispatcher(dispatcher)
			.connectionPool(new ConnectionPool(maxInFlight, 30, TimeUnit.SECONDS))
			.protocols(java.util.List.of(Protocol.HTTP_1_1))
			.retryOnConnectionFailure(false)
			.followRedirects(false)
			.proxy(java.net.Proxy.NO_PROXY)
			.connectTimeout(CONNECT_TIMEOUT)
			.readTimeout(Duration.ZERO)
			.writeTimeout(Duration.ZERO)
			.eventListenerFactory(EndpointClient::eventListener)
			.addNetworkInterceptor(new SingleSendInterceptor())
			.build();
		this.unpooledClient = this.client.newBuilder()
			.connectionPool(new ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
			.build();
		this.controlClient = this.client.newBuilder()
			.connectionPool(new ConnectionPool(maxInFlight, 30, TimeUnit.SECONDS))
			.build();
		this.scheduler = Executors.newSingleThreadScheduledExecutor((task) -> {
			Thread thread = new Thread(task, "call-watch");
			thread.setDaemon(true);
			return thread;
		});
		this.probe = new EndpointProbe(this.controlClient);
		this.canceller = new AttemptCanceller(this.controlClient);
	}

	private static okhttp3.EventListener eventListener(Call call) {
		DispatchTracker tracker = call.request().tag(DispatchTracker.class);
		return (tracker != null) ? tracker : okhttp3.EventListener.NONE;
	}

	/**
	 * Runs one attempt and blocks until the complete answer has arrived, or until the
	 * deadline of the call at the latest.
	 * @param stageCall the attempt
	 * @param sink receives the tokens of a stream as they arrive
	 * @return the answer
	 * @throws EndpointException if no complete answer of this attempt arrived
	 */
	public StageAnswer call(StageCall stageCall, TokenSink sink) throws EndpointException {
		long startMs = this.clock.getAsLong();
		long remainingMs = stageCall.deadline().remainingMs(startMs);
		if (remainingMs == 0) {
			throw new EndpointException(CallFailure.CONNECT_FAILED, "no time remains for the call", null);
		}
		DispatchTracker tracker = new DispatchTracker(this.clock);
		OkHttpClient http = stageCall.retryable() ? this.client : this.unpooledClient;
		Call call = http.newCall(request(stageCall, tracker, remainingMs));
		call.timeout().timeout(remainingMs, TimeUnit.MILLISECONDS);
		try (ProgressWatchdog watchdog = new ProgressWatchdog(stageCall, call, tracker, this.probe, this.scheduler,
				this.clock, this::recordProbe, this.client.connectionPool()::evictAll)) {
			watchdog.start();
			try {
				return execute(stageCall, sink, tracker, call, startMs);
			}
			catch (IOException ex) {
				throw failure(stageCall, tracker, watchdog, ex);
			}
		}
		catch (EndpointException ex) {
			if (tracker.mayHaveSent() && ex.dispatchState().mayHaveRun()) {
				this.canceller.cancel(stageCall);
			}
			throw ex;
		}
	}

	private StageAnswer execute(StageCall stageCall, TokenSink sink, DispatchTracker tracker, Call call, long startMs)
			throws EndpointException, IOException {
		boolean complete = false;
		Response response = call.execute();
		try {
			tracker.recordProgress();
			StageAnswer answer = read(stageCall, sink, tracker, response, startMs);
			complete = true;
			return answer;
		}
		finally {
			// Closing the response alone could return the connection to the pool, where a
			// wrong answer may be followed by more of them.
			if (!complete) {
				call.cancel();
			}
			response.close();
		}
	}

	private EndpointException failure(StageCall stageCall, DispatchTracker tracker, ProgressWatchdog watchdog,
			IOException cause) {
		if (!tracker.mayHaveSent()) {
			return new EndpointException(CallFailure.CONNECT_FAILED, messageOf(cause), cause);
		}
		if (cause instanceof TokenStream.SinkFailedException) {
			return new EndpointException(CallFailure.INCOMPLETE_ANSWER, messageOf(cause), cause, true, false);
		}
		if (cause instanceof TokenStream.IncompleteStreamException) {
			return new EndpointException(CallFailure.INCOMPLETE_ANSWER, messageOf(cause), cause);
		}
		if (watchdog.cancelReason() != null) {
			return new EndpointException(watchdog.cancelReason(),
					"no progress for " + stageCall.progressLimitMs() + " ms", cause);
		}
		if (cause instanceof InterruptedIOException || stageCall.deadline().isPassed(this.clock.getAsLong())) {
			return new EndpointException(CallFailure.TIMED_OUT, messageOf(cause), cause);
		}
		return new EndpointException(CallFailure.CONNECTION_LOST, messageOf(cause), cause);
	}

	private static String messageOf(IOException cause) {
		return (cause.getMessage() != null) ? cause.getMessage() : cause.getClass().getSimpleName();
	}

	private Request request(StageCall stageCall, DispatchTracker tracker, long remainingMs) {
		ObjectNode body = Json.mapper().createObjectNode();
		body.put("request_id", stageCall.attempt().requestId());
		body.put("input", stageCall.input());
		body.put("max_tokens", stageCall.maxTokens());
		body.put("start_index", stageCall.startIndex());
		Request.Builder request = new Request.Builder().url(url(stageCall))
			.tag(DispatchTracker.class, tracker)
			.header(EndpointHeaders.ATTEMPT, stageCall.attempt().toString())
			.header(EndpointHeaders.PRIORITY, stageCall.priority().name())
			.header(EndpointHeaders.DEADLINE_MS, Long.toString(remainingMs))
			.post(RequestBody.create(body.toString(), JSON));
		stageCall.idempotencyKey().ifPresent((key) -> request.header(EndpointHeaders.IDEMPOTENCY_KEY, key));
		return request.build();
	}

	private static HttpUrl url(StageCall stageCall) {
		return HttpUrl.get(stageCall.url() + "/v1/stages/" + stageCall.kind().path());
	}

	private StageAnswer read(StageCall stageCall, TokenSink sink, DispatchTracker tracker, Response response,
			long startMs) throws EndpointException, IOException {
		String echoed = response.header(EndpointHeaders.ATTEMPT);
		boolean attemptMatches = stageCall.attempt().toString().equals(echoed);
		if (!attemptMatches && (echoed != null || response.isSuccessful())) {
			this.metrics.counter("crossed_answers").inc();
			this.timeline.record(EventType.CROSSED_ANSWER, stageCall.attempt().requestId(), 0, "endpoint",
					stageCall.endpoint(), "attempt", stageCall.attempt(), "echoed", echoed);
			throw new EndpointException(CallFailure.CROSSED_ANSWER, "the answer belongs to attempt " + echoed, null);
		}
		boolean leaving = Boolean.parseBoolean(response.header(EndpointHeaders.LEAVING));
		if (!response.isSuccessful()) {
			throw errorResponse(response, attemptMatches, leaving);
		}
		String incarnation = response.header(EndpointHeaders.INCARNATION, "");
		if (stageCall.kind().isStreamed()) {
			TokenStream stream = new TokenStream(response.body().source(), stageCall.startIndex(),
					tracker::recordProgress);
			stream.readAll(sink);
			return new StageAnswer(stream.text(), stream.nextIndex(), stream.cachedTokens(), incarnation, leaving,
					this.clock.getAsLong() - startMs);
		}
		JsonNode answer = parseJson(response.body().source());
		if (!answer.path("output").isTextual()) {
			throw new EndpointException(CallFailure.INCOMPLETE_ANSWER, "the answer has no output", null);
		}
		return new StageAnswer(answer.path("output").textValue(), answer.path("tokens").asInt(0),
				answer.path("cached_tokens").asInt(0), incarnation, leaving, this.clock.getAsLong() - startMs);
	}

	private static EndpointException errorResponse(Response response, boolean attemptMatches, boolean leaving) {
		int status = response.code();
		boolean markedNotRun = attemptMatches && (status == 503 || status == 429)
				&& Boolean.parseBoolean(response.header(EndpointHeaders.NOT_RUN));
		String message = "the endpoint answered with status " + status;
		if (markedNotRun) {
			return new EndpointException(leaving ? CallFailure.LEAVING : CallFailure.REJECTED, message, null);
		}
		boolean retryable = status >= 500 || status == 429 || status == 408;
		return new EndpointException(CallFailure.ERROR_STATUS, message, null, false, retryable);
	}

	private static JsonNode parseJson(BufferedSource source) throws EndpointException, IOException {
		if (source.request(MAX_ANSWER_BYTES + 1L)) {
			throw new EndpointException(CallFailure.INCOMPLETE_ANSWER,
					"the answer is longer than " + MAX_ANSWER_BYTES + " bytes", null);
		}
		byte[] bytes = source.readByteArray();
		try {
			return Json.mapper().readTree(bytes);
		}
		catch (IOException ex) {
			throw new EndpointException(CallFailure.INCOMPLETE_ANSWER, "the answer is not valid JSON", ex);
		}
	}

	private void recordProbe(StageCall stageCall, boolean answered, boolean attemptAbsent) {
		this.metrics.counter("probes").inc();
		this.timeline.record(EventType.PROBED, stageCall.attempt().requestId(), 0, "endpoint", stageCall.endpoint(),
				"attempt", stageCall.attempt(), "answered", answered, "attempt_gone", attemptAbsent);
	}

	/**
	 * Probes an endpoint after a lost connection to find out whether it has crashed.
	 * Blocks for up to two probes of at most about 300 ms each and a pause of 30 ms after
	 * each.
	 * @param url the base URL of the endpoint
	 * @param previousIncarnation the incarnation that the endpoint reported before, or
	 * empty
	 * @return whether the endpoint refuses connections or reports a different incarnation
	 */
	public boolean hasCrashed(String url, String previousIncarnation) {
		for (int i = 0; i < CRASH_PROBES; i++) {
			EndpointProbe.Result result = this.probe.probe(url).join();
			boolean restarted = result.answered() && !previousIncarnation.isEmpty()
					&& !previousIncarnation.equals(result.load().incarnation());
			if (result.refused() || restarted) {
				return true;
			}
			LockSupport.parkNanos(CRASH_PROBE_PAUSE_NANOS);
		}
		return false;
	}

	OkHttpClient controlClient() {
		return this.controlClient;
	}

	@Override
	public void close() {
		this.scheduler.shutdownNow();
		this.client.dispatcher().cancelAll();
		this.client.dispatcher().executorService().shutdown();
		this.client.connectionPool().evictAll();
		this.controlClient.connectionPool().evictAll();
	}

}
