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
 * An entry VM gets SIGTERM while requests wait for the first stage of their pipeline.
 * Without the disruption it gets none.
 */
final class DrainLimit extends Case {

	private static final int REQUESTS = 30;

	private static final int PIECES = 6;

	private static final long CALL_MS = 200;

	private static final long ITEM_MS = 24;

	private static final long TERM_AFTER_MS = 500;

	private static final long PLANNED_MS = 9_000;

	private static final long LOSS_SLACK_MS = 200;

	private static final long CLIENT_WAITS_MS = 20_000;

	private final AtomicInteger lost = new AtomicInteger();

	private volatile long termAtMs = Long.MAX_VALUE / 2;

	public static void main(String[] args) {
		run(new DrainLimit(), args[0]);
	}

	@Override
	boolean play() throws Exception {
		this.store.put(Store.OPERATOR, "config", config());
		StageServer planner = new StageServer("planner-0", "planner", CALL_MS, ITEM_MS, this.record);
		list(planner);
		list(new EngineServer("pool-0", this.record));
		EntryVm vm = startVm("vm-1");
		Thread.sleep(CONTACT_MS);
		ExecutorService threads = Executors.newCachedThreadPool();
		List<Future<?>> clients = new ArrayList<>();
		for (int i = 0; i < REQUESTS; i++) {
			String attempt = "plan" + i;
			clients.add(threads.submit(() -> plan(vm, planner, attempt)));
		}
		Thread.sleep(TERM_AFTER_MS);
		if (this.trouble) {
			this.termAtMs = this.record.nowMs();
			vm.signal("TERM");
			vm.awaitExit(PLANNED_MS);
		}
		for (Future<?> client : clients) {
			client.get(30, TimeUnit.SECONDS);
		}
		threads.shutdownNow();
		this.record.write(this.lost + " requests were lost that no server had begun");
		return this.lost.get() > 0;
	}

	private static String config() {
		String route = "{\"name\":\"plan\",\"host\":\"desk.example\",\"path-prefix\":\"/plan/\",\"type\":\"streaming\","
				+ "\"timeout-ms\":20000,\"goal-ms\":15000,\"priority\":1,\"service\":\"pool\",\"max-attempts\":1,"
				+ "\"phases\":[{\"service\":\"planner\",\"after\":[],\"byte-count\":8000}],\"anonymous\":false,"
				+ "\"sticky\":true,\"resumable\":false,\"itl-target-ms\":300},";
		String service = "{\"name\":\"planner\",\"health-path\":\"/healthz\",\"max-conns\":270,\"protocol\":\"h1\","
				+ "\"tls\":false,\"cold-s\":0.0,\"cold-per-s\":0.0,\"segments\":{\"slots\":1,\"queue\":2,\"batch\":7,"
				+ "\"call-ms\":200.0,\"item-ms\":24.0,\"headroom-mb\":15.75,\"handle-s\":4.0,\"link-mbps\":10000.0}},";
		return Config.text(2)
			.replace("\"routes\":[", "\"routes\":[" + route)
			.replace("\"services\":[", "\"services\":[" + service);
	}

	private Void plan(EntryVm vm, StageServer planner, String attempt) {
		String outcome;
		try (Client client = vm.connect(0)) {
			client.send(Client.head("POST", "/plan/x", attempt, CLIENT_WAITS_MS, 2,
					"X-Fulmargap-Model: m\r\nX-Fulmargap-Token-Usage: 1000,40\r\nX-Fulmargap-Prompt-Prefix: aa:600,"
							+ attempt.length() + "b" + attempt.substring(4) + ":400\r\nX-Fulmargap-Chunks: " + PIECES
							+ "\r\nX-Fulmargap-Chunk-Key: 7c1e07a2\r\n")
					+ "{}");
			long sentAtMs = this.record.nowMs();
			this.record.write(attempt + " is sent");
			Message answer;
			try {
				answer = Message.read(client.in);
			}
			catch (IOException ex) {
				answer = null;
			}
			long afterMs = this.record.nowMs() - sentAtMs;
			if (answer != null) {
				outcome = "is answered " + answer.status() + " after " + afterMs + " ms";
			}
			else {
				boolean waited = this.record.runs(attempt) == 0 && !planner.hasBegun(attempt);
				boolean planned = !this.trouble || this.record.nowMs() - this.termAtMs <= PLANNED_MS;
				if (waited && planned && afterMs > LOSS_SLACK_MS && afterMs < CLIENT_WAITS_MS) {
					this.lost.incrementAndGet();
				}
				outcome = "gets no answer: the channel ends after " + afterMs + " ms; "
						+ ((waited) ? "no server had begun a part of it" : "a server had begun a part of it");
			}
		}
		catch (IOException ex) {
			outcome = "could not be sent: " + ex.getMessage();
		}
		this.record.write(attempt + ' ' + outcome);
		return null;
	}

	/** A model server whose streams have three events. */
	private static final class EngineServer extends Server {

		private static final long EVENT_MS = 20;

		EngineServer(String id, Record record) throws IOException {
			super(id, "pool", 64, record);
		}

		@Override
		void run(Message request, String attempt, OutputStream out) throws IOException, InterruptedException {
			out.write(("HTTP/1.1 200 OK\r\nX-Fulmargap-Attempt-Id: " + attempt + "\r\n" + seal(attempt)
					+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
				.getBytes(StandardCharsets.ISO_8859_1));
			for (int i = 1; i <= 3; i++) {
				Thread.sleep(EVENT_MS);
				String event = "id: " + i + "\ndata: token\n\n";
				out.write((Integer.toHexString(event.length()) + "\r\n" + event + "\r\n")
					.getBytes(StandardCharsets.ISO_8859_1));
			}
			out.write("0\r\n\r\n".getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
		}

	}

}
