package org.fulmargap.http;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

import io.javalin.Javalin;
import io.javalin.http.Context;
import org.fulmargap.admission.AdmissionRefusedException;
import org.fulmargap.pipeline.RunState;
import org.fulmargap.request.FailureType;
import org.fulmargap.request.FulmargapException;
import org.fulmargap.timeline.EventType;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The HTTP API for callers.
 */
public final class CallerApi implements AutoCloseable {

	private static final Logger LOG = LoggerFactory.getLogger(CallerApi.class);

	/**
	 * The maximum number of threads of the HTTP server. Requests that wait do not occupy
	 * one of them.
	 */
	private static final int MAX_THREADS = 32;

	private final CallerServices services;

	private final FilterChain chain;

	private final Javalin javalin;

	private final AtomicLong nextNumber = new AtomicLong();

	private final AtomicInteger inFlight = new AtomicInteger();

	/**
	 * Creates the API. It does not listen yet.
	 * @param services the services that handle requests
	 */
	public CallerApi(CallerServices services) {
		this.services = services;
		this.chain = new FilterChain(List.of(new BodyFilter(services.maxBodyBytes(), services.clock()),
				new AuthenticationFilter(), new PipelineFilter(), new DeadlineFilter(),
				new KeyFilter(services.keyLifetimeMs()), new AcceptedFilter(services.timeline()),
				new ClaimFilter(services.claims(), services.callbacks(), services.timeline()),
				new GateFilter(services.gate(), services.clock()),
				new AdmissionFilter(services.admission(), services.expectedMs(), services.workers(),
						services.callbacks(), services.clock()),
				new ExecutionFilter(services.executor(), services.invariants())));
		this.javalin = HttpServers.create(MAX_THREADS, (routes) -> {
			routes.post("/v1/pipelines/{pipeline}/requests", this::handle);
			routes.error(404, this::unknownPath);
		});
		services.metrics().gauge("requests_in_flight", () -> this.inFlight::get);
	}

	/**
	 * Starts to listen for connections.
	 * @param host the IP address
	 * @param port the port, zero for any free port
	 */
	public void start(String host, int port) {
		this.javalin.start(host, port);
	}

	/**
	 * Returns the port on which the API listens.
	 * @return the port
	 */
	public int port() {
		return this.javalin.port();
	}

	/**
	 * Returns the number of requests whose reply has not been written yet.
	 * @return the number of requests in flight
	 */
	public int inFlight() {
		return this.inFlight.get();
	}

	private void unknownPath(Context ctx) {
		if (!ctx.res().containsHeader(HttpServers.REQUEST_ID_HEADER)) {
			write(ctx, HttpServers.unknownPath(ctx.path()), "");
		}
	}

	private void handle(Context ctx) {
		this.inFlight.incrementAndGet();
		this.services.metrics().meter("requests").mark();
		Exchange exchange = new Exchange(this.services.incarnation(), this.nextNumber.incrementAndGet(),
				this.services.clock().getAsLong(), new JavalinRequest(ctx), this.services.config().current());
		EventStream events = new EventStream(() -> {
			ctx.res().setStatus(200);
			ctx.res().setContentType("text/event-stream");
			ctx.res().setHeader("Cache-Control", "no-store");
			return ctx.res().getOutputStream();
		});
		exchange.sink = (index, text) -> {
			if (exchange.streamed) {
				events.token(index, text);
			}
		};
		ctx.future(() -> run(exchange).thenAccept((reply) -> {
			recordResult(exchange, reply);
			write(ctx, exchange, events, reply);
		}).whenComplete((done, ex) -> {
			this.inFlight.decrementAndGet();
			if (ex != null) {
				LOG.error("reply to request {} could not be written", exchange.requestId(), ex);
			}
		}));
	}

	private CompletableFuture<Reply> run(Exchange exchange) {
		CompletableFuture<Reply> reply;
		try {
			reply = this.chain.run(exchange);
		}
		catch (RuntimeException ex) {
			reply = CompletableFuture.failedFuture(ex);
		}
		return reply.exceptionally((ex) -> {
			LOG.error("request {} failed unexpectedly", exchange.requestId(), ex);
			this.services.invariants()
				.check(false, "UNEXPECTED_EXCEPTION", exchange.requestId(), exchange.configView.version(),
						ex.toString());
			boolean idempotent = exchange.pipeline == null || exchange.pipeline.idempotent();
			FailureType type = idempotent ? FailureType.STAGE_FAILED : FailureType.OUTCOME_UNKNOWN;
			return Reply.failed(new FulmargapException(type, "INTERNAL_ERROR", "the request failed unexpectedly", ex),
					exchange.requestId(), RunState.ACTED);
		});
	}

	private void recordResult(Exchange exchange, Reply reply) {
		long totalMs = this.services.clock().getAsLong() - exchange.arrivedAtMs;
		if (reply.output().isPresent()) {
			this.services.metrics().counter("requests_answered").inc();
			this.services.metrics().timer("request_duration").update(totalMs, TimeUnit.MILLISECONDS);
			this.services.timeline()
				.record(EventType.REQUEST_ANSWERED, exchange.requestId(), exchange.configView.version(), "total_ms",
						totalMs);
			return;
		}
		String type = reply.failure().map((failure) -> failure.type().name()).orElse("RECORDED_FAILURE");
		this.services.metrics().counter("requests_failed." + type).inc();
		this.services.timeline()
			.record(EventType.REQUEST_FAILED, exchange.requestId(), exchange.configView.version(), "type", type,
					"reason", reply.failure().map(FulmargapException::reason).orElse(""), "total_ms", totalMs);
	}

	private void write(Context ctx, Exchange exchange, EventStream events, Reply reply) {
		if (events.isStarted() || (exchange.streamed && reply.output().isPresent())) {
			try {
				events.end(reply);
			}
			catch (IOException ex) {
				this.services.metrics().counter("callers_gone").inc();
			}
			return;
		}
		write(ctx, reply, exchange.requestId());
	}

	private static void write(Context ctx, Reply reply, String requestId) {
		ctx.status(reply.status());
		ctx.header(HttpServers.REQUEST_ID_HEADER, requestId);
		if (reply.hasRetryAfter()) {
			ctx.header("Retry-After", Long.toString(retryAfterSeconds(reply)));
		}
		ctx.contentType("application/json");
		ctx.result(reply.body());
	}

	private static long retryAfterSeconds(Reply reply) {
		if (reply.failure().orElse(null) instanceof AdmissionRefusedException refusal) {
			return Math.max(1, (refusal.retryAfterMs() + 999) / 1000);
		}
		return 1;
	}

	@Override
	public void close() {
		this.javalin.stop();
	}

	/**
	 * Adapts a request of the HTTP library.
	 *
	 * @param ctx the context of the request
	 */
	private record JavalinRequest(Context ctx) implements CallerRequest {

		@Override
		public Optional<String> header(String name) {
			return Optional.ofNullable(this.ctx.header(name));
		}

		@Override
		public String pipeline() {
			return this.ctx.pathParam("pipeline");
		}

		@Override
		public long contentLength() {
			return this.ctx.req().getContentLengthLong();
		}

		@Override
		public InputStream body() throws IOException {
			return this.ctx.req().getInputStream();
		}

	}

}
