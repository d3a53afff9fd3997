package org.fulmargap.standin;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.databind.JsonNode;

/**
 * Stand-in of the platform with fault injection: the log service and the VM list.
 */
public final class PlatformStandIn implements AutoCloseable {

	private static final int MAX_RECORDS_PER_READ = 1000;

	private static final String LOG_PATH = "/v1/log/";

	private static final String RECORDS_SUFFIX = "/records";

	private final Options options;

	private final Map<String, LogStream> streams = new ConcurrentHashMap<>();

	private final RateLimit rateLimit;

	private final VmList vms;

	private final FaultSettings<PlatformFaults> faults = new FaultSettings<>(PlatformFaults.class, PlatformFaults.NONE);

	private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1, (task) -> {
		Thread thread = new Thread(task, "platform-timer");
		thread.setDaemon(true);
		return thread;
	});

	private final HttpServer server;

	/**
	 * Creates the stand-in without starting it.
	 * @param options the ports, limits and lag
	 */
	public PlatformStandIn(Options options) {
		this.options = options;
		this.rateLimit = new RateLimit(options.appendsPerSecond(), System.nanoTime());
		this.vms = new VmList(options.vmListLagMs());
		this.server = new HttpServer("platform", options.ports(), this::handle);
	}

	/**
	 * Starts to accept requests.
	 * @throws IOException if a port cannot be opened
	 */
	public void start() throws IOException {
		this.server.start();
	}

	/**
	 * Returns the ports that the stand-in listens on.
	 * @return one port for each port of the options, in the same order
	 */
	public List<Integer> ports() {
		return this.server.ports();
	}

	private void handle(Exchange exchange) {
		String path = exchange.path();
		if (path.equals("/control/faults")) {
			this.faults.handle(exchange, (updated) -> {
			}, UnaryOperator.identity());
		}
		else if (path.equals("/control/vms")) {
			setVms(exchange);
		}
		else if (path.equals("/health")) {
			exchange.respond(200, Map.of("status", "up"));
		}
		else {
			handlePlatformRequest(exchange, path);
		}
	}

	private void handlePlatformRequest(Exchange exchange, String path) {
		PlatformFaults current = this.faults.current();
		if (current.down() || current.cutPorts().contains(exchange.localPort())
				|| current.cutAddresses().contains(exchange.remoteAddress().getAddress().getHostAddress())) {
			exchange.abort();
		}
		else if (current.hang()) {
			return;
		}
		else if (path.equals("/v1/vms")) {
			exchange.respond(200, this.vms.read(System.currentTimeMillis()));
		}
		else if (path.startsWith(LOG_PATH) && path.endsWith(RECORDS_SUFFIX)
				&& path.length() > LOG_PATH.length() + RECORDS_SUFFIX.length()) {
			String stream = path.substring(LOG_PATH.length(), path.length() - RECORDS_SUFFIX.length());
			if (current.slowMs() > 0) {
				this.scheduler.schedule(() -> handleLogRequest(exchange, stream), current.slowMs(),
						TimeUnit.MILLISECONDS);
			}
			else {
				handleLogRequest(exchange, stream);
			}
		}
		else {
			exchange.error(404, "NOT_FOUND", "no resource " + path);
		}
	}

	private void handleLogRequest(Exchange exchange, String name) {
		LogStream stream = this.streams.computeIfAbsent(name,
				(key) -> new LogStream(this.options.retainRecords(), this.options.retainMs()));
		if ("POST".equals(exchange.method())) {
			append(exchange, stream);
			return;
		}
		try {
			int max = (int) Math.min(MAX_RECORDS_PER_READ, Math.max(0, exchange.query("max", MAX_RECORDS_PER_READ)));
			exchange.respond(200, stream.read(exchange.query("from", 0), max, System.currentTimeMillis()));
		}
		catch (NumberFormatException ex) {
			exchange.error(400, "INVALID_PARAMETER", "from and max must be numbers");
		}
	}

	private void append(Exchange exchange, LogStream stream) {
		exchange.body().whenComplete((body, failure) -> {
			if (failure != null) {
				exchange.error(413, "BODY_REFUSED", String.valueOf(failure.getMessage()));
				return;
			}
			JsonNode value;
			try {
				value = Json.MAPPER.readTree(body);
			}
			catch (IOException ex) {
				exchange.error(400, "INVALID_JSON", ex.getMessage());
				return;
			}
			if (!this.rateLimit.tryAcquire(System.nanoTime())) {
				exchange.responseHeader("Retry-After", "1")
					.error(429, "RATE_LIMITED", "more than " + this.options.appendsPerSecond() + " appends per second");
				return;
			}
			long offset = stream.append(value, System.currentTimeMillis());
			PlatformFaults previous = this.faults.getAndUpdate((current) -> (current.loseAppendAnswers() > 0)
					? current.withLoseAppendAnswers(current.loseAppendAnswers() - 1) : current);
			if (previous.loseAppendAnswers() != 0) {
				exchange.abort();
				return;
			}
			exchange.respond(200, Map.of("offset", offset));
		});
	}

	private void setVms(Exchange exchange) {
		exchange.body().whenComplete((body, failure) -> {
			try {
				if (failure != null) {
					throw new IOException(failure);
				}
				this.vms.set(Json.MAPPER.readValue(body, VmUpdate.class).vms(), System.currentTimeMillis());
				exchange.respond(200, Map.of());
			}
			catch (IOException ex) {
				exchange.error(400, "INVALID_VM_LIST", ex.getMessage());
			}
		});
	}

	@Override
	public void close() {
		this.scheduler.shutdownNow();
		this.server.close();
	}

	/**
	 * Request body of {@code POST /control/vms}.
	 *
	 * @param vms the new VM list
	 */
	record VmUpdate(@JsonProperty(value = "vms", required = true) List<VmList.Vm> vms) {

		VmUpdate {
			vms = List.copyOf(vms);
		}

	}

	/**
	 * Options of the platform stand-in.
	 *
	 * @param ports the ports to listen on, zero for any free port
	 * @param appendsPerSecond the limit of appends per second over all streams
	 * @param retainRecords the number of records that each stream retains
	 * @param retainMs the retention time of records in milliseconds
	 * @param vmListLagMs the lag of the VM list in milliseconds
	 */
	public record Options(List<Integer> ports, int appendsPerSecond, int retainRecords, long retainMs,
			long vmListLagMs) {

		/**
		 * Copies the list of ports and checks the options.
		 */
		public Options {
			ports = List.copyOf(ports);
			if (ports.isEmpty() || appendsPerSecond < 1 || retainRecords < 1 || retainMs < 1 || vmListLagMs < 0) {
				throw new IllegalArgumentException(
						"ports are required, limits and retention must be positive, and the lag must not be negative");
			}
		}

		/**
		 * Returns the options that tests use: one free port, and the limits of the real
		 * log service as far as they are known.
		 * @return options for 400 appends per second, a retention of 20,000 records and
		 * one hour, and a VM list with a lag of 2 s
		 */
		public static Options defaults() {
			return new Options(List.of(0), 400, 20_000, 3_600_000, 2_000);
		}

		/**
		 * Returns a copy with other ports.
		 * @param ports the ports to listen on, zero for any free port
		 * @return the copy
		 */
		public Options withPorts(List<Integer> ports) {
			return new Options(ports, this.appendsPerSecond, this.retainRecords, this.retainMs, this.vmListLagMs);
		}

	}

}
