import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One of four servers of a stage crashes and starts again under its id while a request
 * holds one of its results. Without the disruption it doesn't crash.
 */
final class ReusedHandles extends Case {

	/** The service of the other stage takes longer, so that the first result is held. */
	private static final long SLOW_CALL_MS = 3_700;

	private static final long CRASH_AT_MS = 500;

	private static final long DOWN_MS = 2_000;

	private static final int PLANNERS = 4;

	private static final int HUBS = 5;

	/** Further requests while the server is down, one for each of the other servers. */
	private static final long[] DOWN_REQUESTS_AT_MS = { 900, 1_300, 1_700 };

	/** The request that is sent after the server is back. */
	private static final long LAST_REQUEST_AT_MS = 3_200;

	private final AtomicInteger foreignInputs = new AtomicInteger();

	public static void main(String[] args) {
		run(new ReusedHandles(), args[0]);
	}

	@Override
	boolean play() throws Exception {
		this.store.put(Store.OPERATOR, "config", config());
		List<StageServer> makers = new ArrayList<>();
		for (int i = 0; i < PLANNERS; i++) {
			makers.add(new StageServer("planner-" + i, "planner", 200, 24, this.record));
		}
		for (int i = 0; i < HUBS; i++) {
			makers.add(new StageServer("hub-" + i, "hub", SLOW_CALL_MS, 0, this.record));
		}
		makers.forEach(this::list);
		list(new EngineServer("pool-0", this.record, makers, this.foreignInputs));
		EntryVm vm = startVm("vm-1");
		Thread.sleep(CONTACT_MS);
		ExecutorService threads = Executors.newCachedThreadPool();
		long startMs = this.record.nowMs();
		List<Future<?>> requests = new ArrayList<>();
		requests.add(threads.submit(() -> plan(vm, "plan1")));
		sleepUntil(startMs + CRASH_AT_MS);
		StageServer planner = makers.subList(0, PLANNERS)
			.stream()
			.filter((maker) -> maker.hasBegun("plan1"))
			.findFirst()
			.orElseThrow();
		if (this.trouble) {
			planner.crash();
		}
		for (long atMs : DOWN_REQUESTS_AT_MS) {
			sleepUntil(startMs + atMs);
			String attempt = "plan" + (requests.size() + 1);
			requests.add(threads.submit(() -> plan(vm, attempt)));
		}
		sleepUntil(startMs + CRASH_AT_MS + DOWN_MS);
		if (this.trouble) {
			planner.restart();
			this.store.put(Store.SERVERS, planner.id, planner.entry());
		}
		sleepUntil(startMs + LAST_REQUEST_AT_MS);
		String last = "plan" + (requests.size() + 1);
		requests.add(threads.submit(() -> plan(vm, last)));
		for (Future<?> request : requests) {
			request.get(20, TimeUnit.SECONDS);
		}
		threads.shutdownNow();
		return this.foreignInputs.get() > 0;
	}

	private void sleepUntil(long atMs) throws InterruptedException {
		Thread.sleep(Math.max(0, atMs - this.record.nowMs()));
	}

	private static String config() {
		String route = "{\"name\":\"plan\",\"host\":\"desk.example\",\"path-prefix\":\"/plan/\",\"type\":\"streaming\","
				+ "\"timeout-ms\":15000,\"goal-ms\":10000,\"priority\":1,\"service\":\"pool\",\"max-attempts\":1,"
				+ "\"phases\":[{\"service\":\"planner\",\"after\":[],\"byte-count\":8000},"
				+ "{\"service\":\"hub\",\"after\":[],\"byte-count\":8000}],\"anonymous\":false,"
				+ "\"sticky\":true,\"resumable\":false,\"itl-target-ms\":300},";
		String service = "{\"name\":\"%s\",\"health-path\":\"/healthz\",\"max-conns\":270,\"protocol\":\"h1\","
				+ "\"tls\":false,\"cold-s\":0.0,\"cold-per-s\":0.0,\"segments\":{\"slots\":1,\"queue\":2,\"batch\":7,"
				+ "\"call-ms\":%d.0,\"item-ms\":%d.0,\"headroom-mb\":15.75,\"handle-s\":4.0,\"link-mbps\":10000.0}},";
		return Config.text(2)
			.replace("\"routes\":[", "\"routes\":[" + route)
			.replace("\"services\":[", "\"services\":[" + service.formatted("planner", 200, 24)
					+ service.formatted("hub", SLOW_CALL_MS, 0));
	}

	private Void plan(EntryVm vm, String attempt) {
		String outcome;
		try (Client client = vm.connect(0)) {
			client.send(Client.head("POST", "/plan/x", attempt, 15_000, 2,
					"X-Fulmargap-Model: m\r\nX-Fulmargap-Token-Usage: 1000,40\r\nX-Fulmargap-Prompt-Prefix: aa:600,"
							+ attempt.substring(4) + "b:400\r\nX-Fulmargap-Chunks: 1,1\r\nX-Fulmargap-Chunk-Key: "
							+ attempt + "\r\n")
					+ "{}");
			this.record.write(attempt + " is sent");
			Message answer = Message.read(client.in);
			outcome = (answer != null) ? "is answered " + answer.status() : "gets no answer: the channel ends";
		}
		catch (IOException ex) {
			outcome = "gets no answer: " + ex.getMessage();
		}
		this.record.write(attempt + ' ' + outcome);
		return null;
	}

	/** A model server that fetches the inputs of a request before it runs it. */
	private static final class EngineServer extends Server {

		private final Record record;

		private final List<StageServer> makers;

		private final AtomicInteger foreignInputs;

		EngineServer(String id, Record record, List<StageServer> makers, AtomicInteger foreignInputs)
				throws IOException {
			super(id, "pool", 64, record);
			this.record = record;
			this.makers = makers;
			this.foreignInputs = foreignInputs;
		}

		@Override
		void run(Message request, String attempt, OutputStream out) throws IOException, InterruptedException {
			for (String handle : request.header("x-fulmargap-inputs").split(",")) {
				String owner = owner(handle);
				this.record.write("server " + this.id + " fetches " + handle + " for " + attempt + ": made for " + owner);
				if (owner == null) {
					answer(out, 409, attempt, "X-Fulmargap-Not-Executed: 1\r\n", new byte[0]);
					return;
				}
				if (!owner.equals(attempt)) {
					this.foreignInputs.incrementAndGet();
				}
			}
			String events = "id: 1\ndata: token\n\n";
			answer(out, 200, attempt, seal(attempt) + "Content-Type: text/event-stream\r\n",
					events.getBytes(StandardCharsets.US_ASCII));
		}

		private String owner(String handle) {
			return this.makers.stream()
				.map((maker) -> maker.requestOf(handle))
				.filter((owner) -> owner != null)
				.findFirst()
				.orElse(null);
		}

	}

}
