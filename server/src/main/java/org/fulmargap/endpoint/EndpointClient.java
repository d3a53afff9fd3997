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
 * Calls endpoints over HTTP and knows for each failed call whether the endpoint may have
 * run it.
 */
public final class EndpointClient implements AutoCloseable {

	/** The longest answer of a stage. */
	static final int MAX_ANSWER_BYTES = 8 << 20;

	/** Endpoints are at most a few milliseconds away. */
	private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);

	/**
	 * The connections of a dying process break one after the other, so a single probe can
	 * come before its listener is closed.
	 */
	private static final int CRASH_PROBES = 2;

	private static final long CRASH_PROBE_PAUSE_NANOS = 30_000_000;

	private static final MediaType JSON = MediaType.get("application/json");

	private final LongSupplier clock;

	private final Timeline timeline;

	private final MetricRegistry metrics;

	private final OkHttpClient client;

	/**
	 * Opens a connection for each call. A call that must not be repeated then never meets
	 * a pooled connection that the endpoint has just closed, whose failure would leave
	 * the outcome unknown.
	 */
	private final OkHttpClient freshClient;

	/** Carries everything but stage calls, so that their answers cannot be mixed up. */
	private final OkHttpClient controlClient;

	private final EndpointProbe probe;

	private final AttemptCanceller canceller;

	private final ScheduledExecutorService scheduler;

	/**
	 * Creates a client.
	 * @param clock the source of the present time in milliseconds since the epoch
	 * @param timeline receives notable events
	 * @param metrics counts them
	 * @param maxInFlight the highest number of calls at the same time
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
			.eventListenerFactory(EndpointClient::listenerOf)
			.addNetworkInterceptor(new SingleSendInterceptor())
			.build();
		this.freshClient = this.client.newBuilder()
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

	private static okhttp3.EventListener listenerOf(Call call) {
		DispatchTracker tracker = call.request().tag(DispatchTracker.class);
		return (tracker != null) ? tracker : okhttp3.EventListener.NONE;
	}

	/**
	 * Runs one attempt and waits for the complete answer, until the deadline of the call
	 * at the latest.
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
		OkHttpClient http = stageCall.repeatable() ? this.client : this.freshClient;
		Call call = http.newCall(request(stageCall, tracker, remainingMs));
		call.timeout().timeout(remainingMs, TimeUnit.MILLISECONDS);
		try (ProgressWatch watch = new ProgressWatch(stageCall, call, tracker, this.probe, this.scheduler, this.clock,
				this::probed, this.client.connectionPool()::evictAll)) {
			watch.start();
			try {
				return execute(stageCall, sink, tracker, call, startMs);
			}
			catch (IOException ex) {
				throw failure(stageCall, tracker, watch, ex);
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
			tracker.progress();
			StageAnswer answer = read(stageCall, sink, tracker, response, startMs);
			complete = true;
			return answer;
		}
		finally {
			// Closing the response alone could return the connection to the pool, and a
			// wrong answer may be followed by more of them.
			if (!complete) {
				call.cancel();
			}
			response.close();
		}
	}

	private EndpointException failure(StageCall stageCall, DispatchTracker tracker, ProgressWatch watch,
			IOException cause) {
		if (!tracker.mayHaveSent()) {
			return new EndpointException(CallFailure.CONNECT_FAILED, text(cause), cause);
		}
		if (cause instanceof TokenStream.ReceiverGoneException) {
			return new EndpointException(CallFailure.INCOMPLETE_ANSWER, text(cause), cause, true, false);
		}
		if (cause instanceof TokenStream.IncompleteStreamException) {
			return new EndpointException(CallFailure.INCOMPLETE_ANSWER, text(cause), cause);
		}
		if (watch.verdict() != null) {
			return new EndpointException(watch.verdict(), "no progress for " + stageCall.progressLimitMs() + " ms",
					cause);
		}
		if (cause instanceof InterruptedIOException || stageCall.deadline().isPassed(this.clock.getAsLong())) {
			return new EndpointException(CallFailure.TIMED_OUT, text(cause), cause);
		}
		return new EndpointException(CallFailure.CONNECTION_LOST, text(cause), cause);
	}

	private static String text(IOException cause) {
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
		boolean own = stageCall.attempt().toString().equals(echoed);
		if (!own && (echoed != null || response.isSuccessful())) {
			this.metrics.counter("crossed_answers").inc();
			this.timeline.record(EventType.CROSSED_ANSWER, stageCall.attempt().requestId(), 0, "endpoint",
					stageCall.endpoint(), "attempt", stageCall.attempt(), "echoed", echoed);
			throw new EndpointException(CallFailure.CROSSED_ANSWER, "the answer belongs to attempt " + echoed, null);
		}
		boolean leaving = Boolean.parseBoolean(response.header(EndpointHeaders.LEAVING));
		if (!response.isSuccessful()) {
			throw refusal(response, own, leaving);
		}
		String incarnation = response.header(EndpointHeaders.INCARNATION, "");
		if (stageCall.kind().isStreamed()) {
			TokenStream stream = new TokenStream(response.body().source(), stageCall.startIndex(), tracker::progress);
			stream.readAll(sink);
			return new StageAnswer(stream.text(), stream.nextIndex(), stream.cachedTokens(), incarnation, leaving,
					this.clock.getAsLong() - startMs);
		}
		JsonNode answer = parse(response.body().source());
		if (!answer.path("output").isTextual()) {
			throw new EndpointException(CallFailure.INCOMPLETE_ANSWER, "the answer has no output", null);
		}
		return new StageAnswer(answer.path("output").textValue(), answer.path("tokens").asInt(0),
				answer.path("cached_tokens").asInt(0), incarnation, leaving, this.clock.getAsLong() - startMs);
	}

	private static EndpointException refusal(Response response, boolean own, boolean leaving) {
		int status = response.code();
		boolean marked = own && (status == 503 || status == 429)
				&& Boolean.parseBoolean(response.header(EndpointHeaders.NOT_RUN));
		String message = "the endpoint answered with status " + status;
		if (marked) {
			return new EndpointException(leaving ? CallFailure.LEAVING : CallFailure.REJECTED, message, null);
		}
		boolean repeatable = status >= 500 || status == 429 || status == 408;
		return new EndpointException(CallFailure.ERROR_STATUS, message, null, false, repeatable);
	}

	private static JsonNode parse(BufferedSource source) throws EndpointException, IOException {
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

	private void probed(StageCall stageCall, boolean answered, boolean gone) {
		this.metrics.counter("probes").inc();
		this.timeline.record(EventType.PROBED, stageCall.attempt().requestId(), 0, "endpoint", stageCall.endpoint(),
				"attempt", stageCall.attempt(), "answered", answered, "attempt_gone", gone);
	}

	/**
	 * Finds out whether an endpoint whose connection broke has crashed. Waits for one or
	 * two answers of at most some 300 ms each.
	 * @param url the base URL of the endpoint
	 * @param previousIncarnation the incarnation that the endpoint had before
	 * @return whether the endpoint refuses connections or is another incarnation
	 */
	public boolean hasCrashed(String url, String previousIncarnation) {
		for (int i = 0; i < CRASH_PROBES; i++) {
			EndpointProbe.Finding finding = this.probe.probe(url).join();
			boolean restarted = finding.answered() && !previousIncarnation.isEmpty()
					&& !previousIncarnation.equals(finding.load().incarnation());
			if (finding.refused() || restarted) {
				return true;
			}
			LockSupport.parkNanos(CRASH_PROBE_PAUSE_NANOS);
		}
		return false;
	}

	OkHttpClient http() {
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
