import java.io.IOException;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store loses the answer to one status report of a server and executes it seconds
 * later. Meanwhile the server has begun to drain. Counts the requests that reach the
 * server later than drain-ms after the store has acknowledged that it drains.
 */
public final class LateReport {

	private static final long HEARTBEAT_MS = 1_200;

	private static final long DRAIN_MS = 2_000;

	/** How much later the store executes the report, within the 1 to 6 s of the bench. */
	private static final long LATE_MS = 6_000;

	/** The store has been undisturbed for longer than contact-ms when the drain begins. */
	private static final long DRAINS_AFTER_MS = Fleet.CONTACT_MS + 550;

	/** How long the server goes on serving after drain-ms. */
	private static final long SERVES_LONGER_MS = 8_000;

	/** The callers of each zone; the server that drains is in the last one. */
	private static final int[] CALLERS = { 1, 1, 5 };

	private static final long REQUEST_PAUSE_MS = 200;

	private static final long WORK_MS = 21;

	private static final String CONFIG = """
			{"version":7,"routes":[
			{"name":"r-act","host":"desk.example","path-prefix":"/act/","type":"non_idempotent","timeout-ms":800,"goal-ms":150,"priority":2,"service":"desk","max-attempts":1,"anonymous":false,"sticky":false,"resumable":false}],
			"services":[{"name":"desk","health-path":"/healthz","max-conns":48,"protocol":"h1","tls":false,"cold-s":0.0,"cold-per-s":0.0}],
			"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
			"tenants":[{"name":"bozi300","api-keys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}""";

	private final Record record;

	private final AtomicInteger late = new AtomicInteger();

	private final Map<String, Integer> answers = new ConcurrentHashMap<>();

	private volatile PlainServer leaving;

	private volatile long drainAckAtMs = Long.MAX_VALUE / 2;

	private volatile boolean ended;

	private LateReport(Record record) {
		this.record = record;
	}

	public static void main(String[] args) {
		Case.run(args, (record, fleet, trouble) -> new LateReport(record).run(fleet, trouble));
	}

	private int run(Fleet fleet, boolean trouble) throws Exception {
		fleet.store.put("keyed.op", "config", CONFIG);
		for (String zone : Fleet.ZONES) {
			this.leaving = new PlainServer(fleet.store, "desk", zone, "127.0.0.1", 0, this::handle);
		}
		if (!fleet.start()) {
			return 2;
		}
		for (int i = 0; i < CALLERS.length; i++) {
			EntryVm vm = fleet.vms.get(i);
			for (int n = 0; n < CALLERS[i]; n++) {
				PlainServer.daemon(() -> callAllTheTime(vm));
			}
		}
		Thread.sleep(1_000);
		long reportedAtMs = EntryVm.now();
		PlainServer.Report old = this.leaving.nextReport("ready");
		if (trouble) {
			this.record.line("report " + old + " of " + this.leaving.id() + ": the store gives no answer");
			PlainServer.daemon(() -> {
				pause(reportedAtMs + LATE_MS - EntryVm.now());
				this.record.line("the store executes report " + old + ", changed=" + this.leaving.write(old));
			});
		}
		else {
			this.leaving.write(old);
		}
		String state = "ready";
		long endMs = Long.MAX_VALUE;
		for (long nextMs = reportedAtMs + HEARTBEAT_MS; EntryVm.now() < endMs; nextMs += HEARTBEAT_MS) {
			pause(Math.min(nextMs, (state.equals("ready")) ? reportedAtMs + DRAINS_AFTER_MS : nextMs) - EntryVm.now());
			if (state.equals("ready") && EntryVm.now() >= reportedAtMs + DRAINS_AFTER_MS) {
				state = "draining";
				nextMs = EntryVm.now();
			}
			PlainServer.Report report = this.leaving.nextReport(state);
			boolean changed = this.leaving.write(report);
			this.record.line("report " + report + " of " + this.leaving.id() + " acknowledged, changed=" + changed);
			if (state.equals("draining") && endMs == Long.MAX_VALUE) {
				this.drainAckAtMs = EntryVm.now();
				endMs = this.drainAckAtMs + DRAIN_MS + SERVES_LONGER_MS;
			}
		}
		this.ended = true;
		String result = "requests that reached the server later than drain-ms after the ack that it drains: " + this.late
				+ " (allowed: 0); answers: " + new TreeMap<>(this.answers);
		this.record.line(result);
		System.out.println(result);
		return (this.late.get() > 0) ? 1 : 0;
	}

	private PlainServer.Reply handle(PlainServer server, Http request) {
		long sinceAckMs = EntryVm.now() - this.drainAckAtMs;
		if (server == this.leaving && sinceAckMs > DRAIN_MS) {
			this.late.incrementAndGet();
			this.record.line("run " + request.header("x-fulmargap-attempt-id") + " at " + server.id() + ", " + sinceAckMs
					+ " ms after the ack that it drains");
		}
		pause(WORK_MS);
		return PlainServer.Reply.ok("booked");
	}

	private void callAllTheTime(EntryVm vm) {
		while (!this.ended) {
			String answer;
			String id = Caller.newId();
			try (Caller caller = new Caller(vm, 2_000)) {
				Http http = caller.call("POST", "/act/book", id, 1_500, Fleet.KEY, "", "{}".getBytes());
				answer = (http != null) ? Integer.toString(http.status()) : "closed";
			}
			catch (IOException ex) {
				answer = ex.getClass().getSimpleName();
			}
			this.answers.merge(answer, 1, Integer::sum);
			this.record.line("sent " + id + " to " + vm.name() + ", answer: " + answer);
			pause(REQUEST_PAUSE_MS);
		}
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
