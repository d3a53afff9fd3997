import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One server fails a part of its requests: it runs them and answers 503 without
 * X-Fulmargap-Not-Executed. Counts the requests that have run and for which the caller
 * got a promise that they have not.
 */
public final class FailedBooking {

	private static final int CALLERS = 4;

	private static final int BOOKINGS_PER_CALLER = 400;

	/** One of these fails requests: a share of 0.125. */
	private static final int SERVERS = 8;

	/** The share of the requests that the server fails, as in the site file. */
	private static final double FAILED_SHARE = 0.45;

	private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);

	private static final String CONFIG = """
			{"version":7,"routes":[
			{"name":"r-act","host":"desk.example","path-prefix":"/act/","type":"non_idempotent","timeout-ms":800,"goal-ms":150,"priority":2,"service":"desk","max-attempts":1,"anonymous":false,"sticky":false,"resumable":false}],
			"services":[{"name":"desk","health-path":"/healthz","max-conns":48,"protocol":"h1","tls":false,"cold-s":0.0,"cold-per-s":0.0}],
			"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},
			"tenants":[{"name":"bozi300","api-keys":["9dnn2ctnfzs989anu6ws"],"priority":1}]}""";

	private final Record record;

	private final boolean trouble;

	private final Set<String> run = ConcurrentHashMap.newKeySet();

	private final Map<String, Integer> runsOfBooking = new ConcurrentHashMap<>();

	private PlainServer grey;

	private final AtomicInteger brokenPromises = new AtomicInteger();

	private final AtomicInteger attempts = new AtomicInteger();

	private FailedBooking(Record record, boolean trouble) {
		this.record = record;
		this.trouble = trouble;
	}

	public static void main(String[] args) {
		Case.run(args, (record, fleet, trouble) -> new FailedBooking(record, trouble).run(fleet));
	}

	private int run(Fleet fleet) throws Exception {
		fleet.store.put("keyed.op", "config", CONFIG);
		for (int i = 0; i < SERVERS; i++) {
			String zone = Fleet.ZONES.get(i % Fleet.ZONES.size());
			this.grey = new PlainServer(fleet.store, "desk", zone, "127.0.0.1", 0, this::handle);
		}
		if (!fleet.start()) {
			return 2;
		}
		CountDownLatch left = new CountDownLatch(CALLERS);
		for (int caller = 0; caller < CALLERS; caller++) {
			String name = "booking-" + caller;
			PlainServer.daemon(() -> {
				for (int i = 0; i < BOOKINGS_PER_CALLER; i++) {
					book(fleet, name + '-' + i);
				}
				left.countDown();
			});
		}
		if (!left.await(60, TimeUnit.SECONDS)) {
			return 2;
		}
		long twice = this.runsOfBooking.values().stream().filter((runs) -> runs > 1).count();
		String result = "requests that had run and were answered with a promise that they had not: "
				+ this.brokenPromises + " of " + this.attempts + " (allowed: 0); bookings that were made twice: " + twice
				+ " of " + CALLERS * BOOKINGS_PER_CALLER;
		this.record.line(result);
		System.out.println(result);
		return (this.brokenPromises.get() > 0) ? 1 : 0;
	}

	private PlainServer.Reply handle(PlainServer server, Http request) {
		String id = request.header("x-fulmargap-attempt-id");
		String booking = new String(request.body, StandardCharsets.UTF_8);
		this.run.add(id);
		this.runsOfBooking.merge(booking, 1, Integer::sum);
		work();
		boolean fails = this.trouble && server == this.grey && Spells.isDisturbed()
				&& ThreadLocalRandom.current().nextDouble() < FAILED_SHARE;
		this.record.line("run " + id + " (" + booking + ") at " + server.id() + ", answered " + (fails ? 503 : 200));
		return (fails)
				? new PlainServer.Reply(503, "X-Fulmargap-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1\r\n", "half done")
				: PlainServer.Reply.ok("booked");
	}

	private static void work() {
		try {
			Thread.sleep(15);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	// A caller sends a request again, once, only after a promise, with another id and at
	// another machine.
	private void book(Fleet fleet, String booking) {
		int first = ThreadLocalRandom.current().nextInt(fleet.vms.size());
		for (int attempt = 0; attempt < 2; attempt++) {
			String id = Caller.newId();
			int status = send(fleet.vms.get((first + attempt) % fleet.vms.size()), id, booking);
			this.attempts.incrementAndGet();
			boolean promise = PROMISES.contains(status);
			this.record.line("sent " + id + " (" + booking + "), answer: " + status
					+ ((promise && this.run.contains(id)) ? ", though it has run" : ""));
			if (promise && this.run.contains(id)) {
				this.brokenPromises.incrementAndGet();
			}
			if (!promise) {
				return;
			}
		}
	}

	private static int send(EntryVm vm, String id, String booking) {
		try (Caller caller = new Caller(vm, 2_000)) {
			Http answer = caller.call("POST", "/act/book", id, 1_500, Fleet.KEY, "",
					booking.getBytes(StandardCharsets.UTF_8));
			return (answer != null) ? answer.status() : 0;
		}
		catch (IOException ex) {
			return 0;
		}
	}

}
