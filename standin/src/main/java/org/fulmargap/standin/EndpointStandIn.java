package org.fulmargap.standin;

import java.io.IOException;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Stand-in of an endpoint with fault injection: a model engine, an encoder, a retriever,
 * a reranker or a plain service.
 */
public final class EndpointStandIn implements AutoCloseable {

	private static final Set<String> KINDS = Set.of("encode", "retrieve", "rerank", "generate", "action");

	private static final String STAGES_PATH = "/v1/stages/";

	private static final String ATTEMPTS_PATH = "/v1/attempts/";

	private static final int CRASH_EXIT_CODE = 3;

	private final EndpointOptions options;

	private final FaultSettings<EndpointFaults> faults = new FaultSettings<>(EndpointFaults.class, EndpointFaults.NONE);

	private final Executions executions = new Executions();

	private final ScheduledExecutorService timer;

	private final StageScheduler scheduler;

	private final HttpServer server;

	private final AtomicLong sequence = new AtomicLong();

	private final AtomicBoolean down = new AtomicBoolean();

	private volatile String incarnation = newIncarnation();

	private volatile StageScheduler.Load previousLoad;

	private volatile StageScheduler.Load currentLoad;

	/**
	 * Creates the stand-in without starting it.
	 * @param options the name, port, limits and durations
	 */
	public EndpointStandIn(EndpointOptions options) {
		this.options = options;
		this.timer = Executors.newScheduledThreadPool(2, (task) -> {
			Thread thread = new Thread(task, options.name() + "-timer");
			thread.setDaemon(true);
			return thread;
		});
		this.scheduler = new StageScheduler(options, this.timer, this.faults::current, this.executions);
		this.server = new HttpServer(options.name(), List.of(options.port()), this::handle);
		this.currentLoad = this.scheduler.load(this.incarnation);
		this.previousLoad = this.currentLoad;
	}

	/**
	 * Starts to accept requests.
	 * @throws IOException if the port cannot be opened
	 */
	public void start() throws IOException {
		this.server.start();
		if (this.options.loadLagMs() > 0) {
			this.timer.scheduleAtFixedRate(this::sampleLoad, this.options.loadLagMs(), this.options.loadLagMs(),
					TimeUnit.MILLISECONDS);
		}
	}

	/**
	 * Returns the port that the stand-in listens on.
	 * @return a port of the loopback address
	 */
	public int port() {
		return this.server.ports().get(0);
	}

	private void sampleLoad() {
		this.previousLoad = this.currentLoad;
		this.currentLoad = this.scheduler.load(this.incarnation);
	}

	private void handle(Exchange exchange) {
		String path = exchange.path();
		if (path.equals("/control/faults")) {
			this.faults.handle(exchange, this::applyTriggers, EndpointFaults::withoutTriggers);
			return;
		}
		if (path.equals("/control/executions")) {
			exchange.respond(200, this.executions.report(!"false".equals(exchange.query("attempts"))));
			return;
		}
		if (exchange.isSilent()) {
			return;
		}
		exchange.responseHeader("Fulmargap-Incarnation", this.incarnation);
		if (this.faults.current().leaving()) {
			exchange.responseHeader("Fulmargap-Leaving", "true");
		}
		if (path.equals("/health")) {
			exchange.respond(200, Map.of("status", "up", "incarnation", this.incarnation));
		}
		else if (path.equals("/v1/load")) {
			exchange.respond(200,
					(this.options.loadLagMs() > 0) ? this.previousLoad : this.scheduler.load(this.incarnation));
		}
		else if (path.startsWith(ATTEMPTS_PATH) && "DELETE".equals(exchange.method())) {
			String attempt = URLDecoder.decode(path.substring(ATTEMPTS_PATH.length()), StandardCharsets.UTF_8);
			exchange.respond(200, Map.of("cancelled", this.scheduler.cancel(attempt)));
		}
		else if (path.startsWith(STAGES_PATH) && KINDS.contains(path.substring(STAGES_PATH.length()))
				&& "POST".equals(exchange.method())) {
			runStage(exchange, path.substring(STAGES_PATH.length()));
		}
		else {
			StageResponse.refuse(exchange, 404, "NOT_FOUND", "no resource " + exchange.method() + " " + path);
		}
	}

	private void runStage(Exchange exchange, String kind) {
		exchange.body().whenComplete((bytes, failure) -> {
			try {
				if (failure != null) {
					throw new IOException(failure);
				}
				StageRun.Body body = Json.MAPPER.readValue(bytes, StageRun.Body.class);
				EndpointFaults current = this.faults.getAndUpdate((faults) -> faults.afterRequest(body.input()));
				EndpointFaults requestFaults = current.appliesTo(body.input()) ? current : EndpointFaults.NONE;
				StageRun run = new StageRun(exchange, kind, body, requestFaults, this.sequence.incrementAndGet(),
						System.currentTimeMillis());
				exchange.responseHeader("Fulmargap-Attempt",
						requestFaults.crossAnswer() ? differentAttempt(run.attempt) : run.attempt);
				submit(run, current);
			}
			catch (IOException | RuntimeException ex) {
				StageResponse.refuse(exchange, 400, "MALFORMED_REQUEST", String.valueOf(ex.getMessage()));
			}
		});
	}

	private static String differentAttempt(String attempt) {
		return attempt.startsWith("crossed/") ? "crossed/1/0/0" : "crossed/0/0/0";
	}

	private void submit(StageRun run, EndpointFaults current) {
		Exchange exchange = run.exchange;
		if (current.crashes(run.body.input())) {
			this.executions.started(run.kind, run.attempt, run.key, 1);
			crash();
		}
		else if (run.faults.closeBefore()) {
			exchange.abort();
		}
		else if (run.faults.notRun()) {
			StageResponse.refuse(exchange, 503, "REFUSED", "refused by an injected fault");
		}
		else if (run.faults.failStatus() != 0) {
			exchange.error(run.faults.failStatus(), "FAILED", "failed by an injected fault");
		}
		else {
			switch (this.scheduler.submit(run)) {
				case QUEUE_FULL -> StageResponse.refuse(exchange, 503, "QUEUE_FULL", "the queue is full");
				case OVERLOADED -> handleColdOverload(exchange);
				case ACCEPTED -> {
				}
			}
		}
	}

	private void handleColdOverload(Exchange exchange) {
		if (this.options.whenColdOverloaded().isCrash()) {
			crash();
		}
		else {
			exchange.error(500, "COLD_OVERLOADED", "the endpoint is cold and the request exceeds its capacity");
		}
	}

	private void applyTriggers(EndpointFaults updated) {
		if (updated.silenceOpenConnections()) {
			this.server.silenceOpenConnections();
		}
		if (updated.becomeCold()) {
			this.scheduler.becomeCold();
		}
		if (!updated.hold()) {
			this.scheduler.releaseHeld();
		}
		if (updated.crash()) {
			// Delayed so that the response to this control request is sent before the
			// connections are closed.
			this.timer.schedule(this::crash, 50, TimeUnit.MILLISECONDS);
		}
	}

	private void crash() {
		EndpointFaults current = this.faults.current();
		if (current.crashExit()) {
			Runtime.getRuntime().halt(CRASH_EXIT_CODE);
		}
		if (!this.down.compareAndSet(false, true)) {
			return;
		}
		this.executions.crashed();
		this.scheduler.crash();
		this.timer.execute(() -> {
			this.server.stopListening();
			this.timer.schedule(this::restart, current.crashDownMs(), TimeUnit.MILLISECONDS);
		});
	}

	private void restart() {
		this.incarnation = newIncarnation();
		this.scheduler.crash();
		this.currentLoad = this.scheduler.load(this.incarnation);
		this.previousLoad = this.currentLoad;
		this.down.set(false);
		this.server.resumeListening();
	}

	private static String newIncarnation() {
		return UUID.randomUUID().toString().substring(0, 13);
	}

	@Override
	public void close() {
		this.timer.shutdownNow();
		this.server.close();
	}

}
