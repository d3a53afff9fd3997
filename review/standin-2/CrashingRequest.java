import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
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

	/** A server is back after this time. */
	private static final long SERVER_DOWN_MS = 2_500;

	/** Three heartbeats of silence, after which the store removes an entry. */
	private static final long SILENCE_MS = 3_600;

	private static final String CONFIG = """
			{"version":7,"routes":[
			{"name":"r-act","host":"desk.example","path-prefix":"/act/","type":"non_idempotent","timeout-ms":800,"goal-ms":150,"priority":2,"service":"desk","max-attempts":1,"anonymous":false,"sticky":false,"resumable":false},
			{"name":"r-read","host":"desk.example","path-prefix":"/read/","type":"idempotent","timeout-ms":800,"goal-ms":150,"priority":2,"service":"desk","max-attempts":2,"anonymous":false,"sticky":false,"resumable":false}],
			"services":[{"name":"desk","health-path":"/healthz","max-conns":48,"protocol":"h1","tls":false,"cold-s":0.0,"cold-per-s":0.0}],
			"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
			"tenants":[{"name":"bozi300","api-keys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}""";

	private final Record record;

	private final Fleet fleet;

	private final Map<String, EntryVm> sentBy = new ConcurrentHashMap<>();

	private final AtomicInteger crashes = new AtomicInteger();

	private final AtomicInteger lateRetries = new AtomicInteger();

	private final AtomicInteger served = new AtomicInteger();

	private final AtomicInteger refused = new AtomicInteger();

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
		PlainServer.daemon(this::readAllTheTime);
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
				+ late + " (allowed: 3); crashes in all: " + this.crashes.get() + "; other requests served: "
				+ this.served.get() + ", not served: " + this.refused.get();
		this.record.line(result);
		System.out.println(result);
		return (late > 3) ? 1 : 0;
	}

	private PlainServer.Reply handle(PlainServer server, Http request) {
		if (!request.startLine.contains("/poison")) {
			return PlainServer.Reply.ok("price");
		}
		String id = request.header("x-fulmargap-attempt-id");
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
		PlainServer.daemon(() -> comeBack(server));
		return null;
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

	private void readAllTheTime() {
		for (int turn = 0; !this.ended; turn++) {
			EntryVm vm = this.fleet.vms.get(turn % MACHINES.size());
			if (vm.isReady()) {
				String answer = call(vm, "GET", "/read/price", Caller.newId());
				(answer.equals("200") ? this.served : this.refused).incrementAndGet();
			}
			pause(200);
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
