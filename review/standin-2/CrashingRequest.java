import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A request that crashes each server that begins to run it comes again and again, while
 * the machines are stopped and started in turn. Counts the retries that reach servers
 * after the third crash.
 */
public final class CrashingRequest {

	/** The machines of each zone, as in the site file. */
	private static final List<String> MACHINES = List.of("gent-a", "gent-a", "gent-a", "gent-b", "gent-b", "gent-c");

	private static final long GRACE_MS = 8_000;

	/** The interval at which the request comes again. */
	private static final long REPEAT_MS = 1_000;

	/** The callers that book all the time. */
	private static final int CALLERS = 4;

	/** How long a server works on a booking. */
	private static final long BOOKING_MS = 60;

	/** A server is back after this time. */
	private static final long SERVER_DOWN_MS = 2_500;

	/** Three heartbeats of silence, after which the store removes an entry. */
	private static final long SILENCE_MS = 3_600;

	private static final String CONFIG = """
			{"version":7,"routes":[
			{"name":"r-act","host":"desk.example","path-prefix":"/act/","type":"non_idempotent","timeout-ms":800,"goal-ms":150,"priority":2,"service":"desk","max-attempts":1,"anonymous":false,"sticky":false,"resumable":false}],
			"services":[{"name":"desk","health-path":"/healthz","max-conns":48,"protocol":"h1","tls":false,"cold-s":0.0,"cold-per-s":0.0}],
			"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
			"tenants":[{"name":"bozi300","api-keys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}""";

	private final Record record;

	private final Fleet fleet;

	private final Map<String, EntryVm> sentBy = new ConcurrentHashMap<>();

	private final AtomicInteger crashes = new AtomicInteger();

	private final AtomicInteger lateRetries = new AtomicInteger();

	private final AtomicInteger served = new AtomicInteger();

	private final AtomicInteger cut = new AtomicInteger();

	private final AtomicInteger cutByLateRetries = new AtomicInteger();

	// The bookings that run, by server.
	private final Map<PlainServer, Set<String>> running = new ConcurrentHashMap<>();

	private volatile long thirdCrashAtMs = Long.MAX_VALUE;

	private volatile boolean ended;

	private CrashingRequest(Record record, Fleet fleet) {
		this.record = record;
		this.fleet = fleet;
	}

	public static void main(String[] args) {
		Case.run(args, (record, fleet, trouble) -> new CrashingRequest(record, fleet).run(trouble));
	}

	private int run(boolean trouble) throws Exception {
		this.fleet.store.put("keyed.op", "config", CONFIG);
		for (String zone : Fleet.ZONES) {
			new PlainServer(this.fleet.store, "desk", zone, "127.0.0.1", 0, this::handle);
		}
		if (!this.fleet.start(MACHINES)) {
			return 2;
		}
		for (int i = 0; i < CALLERS; i++) {
			PlainServer.daemon(this::bookAllTheTime);
		}
		PlainServer.daemon(this::repeatTheRequest);
		long endMs = EntryVm.now() + 30_000;
		while (this.crashes.get() < 3 && EntryVm.now() < endMs) {
			Thread.sleep(100);
		}
		if (this.crashes.get() < 3) {
			this.record.line("the request did not crash three servers");
			return 2;
		}
		Thread.sleep(Fleet.CONTACT_MS + 2_000);
		for (EntryVm vm : this.fleet.vms) {
			if (trouble) {
				this.record.line("SIGTERM " + vm.name());
				vm.stop(GRACE_MS);
				vm.start();
				boolean ready = vm.awaitReady(15_000);
				this.record.line("started " + vm.name() + " ready=" + ready);
			}
			else {
				Thread.sleep(5_000);
			}
			Thread.sleep(Fleet.CONTACT_MS + 3_000);
		}
		this.ended = true;
		int late = this.lateRetries.get();
		String result = "retries that reached a server, from machines in touch, later than contact-ms after the third crash: "
				+ late + " (allowed: 3); crashes in all: " + this.crashes.get() + "; bookings of others made: "
				+ this.served.get() + ", cut while they ran: " + this.cut.get() + ", of these by such a retry: "
				+ this.cutByLateRetries.get();
		this.record.line(result);
		System.out.println(result);
		return (late > 3) ? 1 : 0;
	}

	private PlainServer.Reply handle(PlainServer server, Http request) {
		String id = request.header("x-fulmargap-attempt-id");
		if (!request.startLine.contains("/poison")) {
			return book(server, id);
		}
		EntryVm vm = this.sentBy.get(id);
		long nowMs = EntryVm.now();
		int number = this.crashes.incrementAndGet();
		if (number == 3) {
			this.thirdCrashAtMs = nowMs;
		}
		boolean inTouch = nowMs - vm.disturbedAtMs() > Fleet.CONTACT_MS;
		boolean late = number > 3 && nowMs - this.thirdCrashAtMs > Fleet.CONTACT_MS;
		if (late && inTouch) {
			this.lateRetries.incrementAndGet();
		}
		this.record.line("run " + id + " at " + server.id() + " from " + vm.name() + " crash=" + number + " inTouch="
				+ inTouch + " late=" + late);
		server.crash();
		Set<String> lost = this.running.getOrDefault(server, Set.of());
		this.cut.addAndGet(lost.size());
		this.cutByLateRetries.addAndGet((late && inTouch) ? lost.size() : 0);
		this.record.line("the crash of " + server.id() + " cuts the bookings " + lost);
		PlainServer.daemon(() -> comeBack(server));
		return null;
	}

	private PlainServer.Reply book(PlainServer server, String id) {
		Set<String> ids = this.running.computeIfAbsent(server, (key) -> ConcurrentHashMap.newKeySet());
		ids.add(id);
		pause(BOOKING_MS);
		if (server.isCrashed()) {
			return null;
		}
		ids.remove(id);
		return PlainServer.Reply.ok("booked");
	}

	private void comeBack(PlainServer crashed) {
		try {
			Thread.sleep(SERVER_DOWN_MS);
			PlainServer next = new PlainServer(this.fleet.store, "desk", crashed.zone(), "127.0.0.1", crashed.port(),
					this::handle);
			this.record.line("server " + next.id() + " started at the address of " + crashed.id());
			Thread.sleep(SILENCE_MS - SERVER_DOWN_MS);
			crashed.deregister();
		}
		catch (IOException ex) {
			this.record.line("a server did not come back: " + ex);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void repeatTheRequest() {
		for (int turn = 0; !this.ended; turn++) {
			EntryVm vm = this.fleet.vms.get(turn % MACHINES.size());
			if (vm.isReady()) {
				String id = Caller.newId();
				this.sentBy.put(id, vm);
				this.record.line("sent " + id + " to " + vm.name() + ", answer: " + call(vm, "POST", "/act/poison", id));
				pause(REPEAT_MS);
			}
		}
	}

	private void bookAllTheTime() {
		while (!this.ended) {
			EntryVm vm = this.fleet.vms.get(ThreadLocalRandom.current().nextInt(MACHINES.size()));
			if (vm.isReady() && call(vm, "POST", "/act/book", Caller.newId()).equals("200")) {
				this.served.incrementAndGet();
			}
			pause(100);
		}
	}

	private static void pause(long millis) {
		try {
			Thread.sleep(millis);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private static String call(EntryVm vm, String method, String path, String id) {
		byte[] body = (method.equals("POST")) ? "{\"order\":17}".getBytes() : null;
		try (Caller caller = new Caller(vm, 2_000)) {
			Http answer = caller.call(method, path, id, 1_500, Fleet.KEY, "", body);
			return (answer != null) ? Integer.toString(answer.status()) : "closed";
		}
		catch (IOException ex) {
			return ex.toString();
		}
	}

}
