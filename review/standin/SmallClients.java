import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Clients that send small requests on kept channels to one entry VM, by turns idempotent
 * and not, and leave at their time limit. Checks rule CONFIG on what they get: requests
 * without an answer at their route's timeout-ms and half a second later.
 */
final class SmallClients {

	private static final int CLIENTS = 12;

	private static final long PAUSE_MS = 300;

	private static final long ROUTE_TIMEOUT_MS = 800;

	private static final long LATE_MS = 500;

	private static final long CLIENT_WAITS_MS = 1_500;

	/** "Eight or more of them" in rule CONFIG. */
	private static final int MIN_BROKEN = 8;

	private final EntryVm vm;

	private final Record record;

	private final AtomicBoolean ended = new AtomicBoolean();

	private final AtomicInteger sent = new AtomicInteger();

	private final AtomicInteger unanswered = new AtomicInteger();

	private final AtomicInteger stillUnanswered = new AtomicInteger();

	private final List<Future<?>> tasks = new ArrayList<>();

	SmallClients(EntryVm vm, Record record) {
		this.vm = vm;
		this.record = record;
	}

	void start(ExecutorService threads) {
		for (int i = 0; i < CLIENTS; i++) {
			int client = i;
			this.tasks.add(threads.submit(() -> send(client)));
		}
		this.tasks.add(threads.submit(this::probe));
	}

	/** Ends the clients; returns whether the rule was broken. */
	boolean end() throws Exception {
		this.ended.set(true);
		for (Future<?> task : this.tasks) {
			task.get(10, TimeUnit.SECONDS);
		}
		this.record.write("small requests: " + this.sent + " sent, " + this.unanswered + " unanswered after the "
				+ ROUTE_TIMEOUT_MS + " ms of their route, " + this.stillUnanswered + " of these still " + LATE_MS
				+ " ms later");
		return this.stillUnanswered.get() >= MIN_BROKEN && this.stillUnanswered.get() * 2 > this.unanswered.get();
	}

	private Void send(int number) throws InterruptedException {
		Client client = null;
		for (int i = 0; !this.ended.get(); i++) {
			String attempt = "small" + number + '.' + i;
			client = (client != null) ? client : connect(attempt);
			if (client == null) {
				Thread.sleep(PAUSE_MS);
				continue;
			}
			long startedAtMs = this.record.nowMs();
			String outcome;
			try {
				client.socket.setSoTimeout((int) CLIENT_WAITS_MS);
				boolean reads = i % 2 == 0;
				client.send((reads) ? Client.head("GET", "/look/x", attempt, CLIENT_WAITS_MS, 0, "")
						: Client.head("POST", "/book/x", attempt, CLIENT_WAITS_MS, 2, "") + "{}");
				Message answer = Message.read(client.in);
				outcome = (answer != null) ? "is answered " + answer.status() : "gets no answer: the channel ends";
				if (answer == null) {
					client = close(client);
				}
			}
			catch (IOException ex) {
				outcome = "gets no answer: " + ex.getMessage();
				client = close(client);
			}
			long tookMs = this.record.nowMs() - startedAtMs;
			this.sent.incrementAndGet();
			if (tookMs > ROUTE_TIMEOUT_MS) {
				this.unanswered.incrementAndGet();
			}
			if (tookMs > ROUTE_TIMEOUT_MS + LATE_MS) {
				this.stillUnanswered.incrementAndGet();
			}
			if (tookMs > ROUTE_TIMEOUT_MS || !outcome.equals("is answered 200")) {
				this.record.write(attempt + ' ' + outcome + " after " + tookMs + " ms; runs: "
						+ this.record.runs(attempt));
			}
			Thread.sleep(PAUSE_MS);
		}
		close(client);
		return null;
	}

	// A request for which no channel can be opened is not sent and doesn't count.
	private Client connect(String attempt) {
		try {
			return this.vm.connect(0);
		}
		catch (IOException ex) {
			this.record.write(attempt + " is not sent: " + ex.getMessage());
			return null;
		}
	}

	private static Client close(Client client) {
		try {
			if (client != null) {
				client.close();
			}
		}
		catch (IOException ex) {
			// It is closed for this client all the same.
		}
		return null;
	}

	private Void probe() throws InterruptedException {
		while (!this.ended.get()) {
			if (!this.vm.isReady()) {
				this.record.write("the readiness question of the platform gets no 200");
			}
			Thread.sleep(1_000);
		}
		return null;
	}

}
