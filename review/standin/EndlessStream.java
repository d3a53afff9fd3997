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
 * A faulty server goes on after the first event of two of its answers with bytes without
 * end, until their channels are closed. Without the disruption these answers end after
 * their last event, like all others.
 */
final class EndlessStream extends Case {

	private static final long WORK_MS = 20;

	/** The faulty server sends at most 40,000,000 bytes a second on a channel: 320 Mbit/s. */
	private static final int SENT_BYTES = 400_000;

	private static final long SENT_PAUSE_MS = 10;

	/** Each client of such an answer reads 20,000 bytes each 10 ms: 16 Mbit/s. */
	private static final int READ_BYTES = 20_000;

	private static final long READ_PAUSE_MS = 10;

	private static final int RECEIVE_BUFFER_BYTES = 65_536;

	/** The client leaves a stream that is silent for so long. */
	private static final int SILENCE_MS = 5_000;

	private static final long GRACE_MS = 8_000;

	/** The requests whose answers have no end. */
	private static final int ENDLESS = 2;

	private static final String ENDLESS_PREFIX = "endless";

	private static final int CHAT_CLIENTS = 6;

	private static final long CHAT_PAUSE_MS = 100;

	private static final long PLAY_MS = 18_000;

	private final AtomicInteger chats = new AtomicInteger();

	private final AtomicInteger failedChats = new AtomicInteger();

	public static void main(String[] args) {
		run(new EndlessStream(), args[0]);
	}

	@Override
	boolean play() throws Exception {
		for (int i = 0; i < 3; i++) {
			list(new DeskServer("desk-" + i, WORK_MS, this.record));
		}
		list(new EngineServer("pool-0", this.record, this.trouble));
		EntryVm vm = startVm("vm-1");
		Thread.sleep(CONTACT_MS);
		ExecutorService threads = Executors.newCachedThreadPool();
		SmallClients small = new SmallClients(vm, this.record);
		small.start(threads);
		for (int i = 0; i < CHAT_CLIENTS; i++) {
			int client = i;
			threads.submit(() -> chat(vm, client));
		}
		Thread.sleep(1_000);
		List<Future<?>> slow = new ArrayList<>();
		for (int i = 0; i < ENDLESS; i++) {
			String attempt = ENDLESS_PREFIX + i;
			slow.add(threads.submit(() -> readSlowly(vm, attempt)));
		}
		Thread.sleep(PLAY_MS);
		boolean broken = small.end();
		for (Future<?> client : slow) {
			client.get(30, TimeUnit.SECONDS);
		}
		this.record.write("streams: " + this.chats + " complete, " + this.failedChats + " not");
		threads.shutdownNow();
		vm.signal("TERM");
		vm.awaitExit(GRACE_MS);
		return broken;
	}

	// A client that sends ordinary requests for streams and reads them at once.
	private Void chat(EntryVm vm, int number) throws InterruptedException {
		for (int i = 0; !Thread.currentThread().isInterrupted(); i++) {
			try (Client client = vm.connect(0)) {
				client.socket.setSoTimeout(SILENCE_MS);
				client.send(request("chat" + number + '.' + i));
				Message answer = Message.read(client.in);
				boolean whole = answer != null && answer.status() == 200;
				((whole) ? this.chats : this.failedChats).incrementAndGet();
			}
			catch (IOException ex) {
				this.failedChats.incrementAndGet();
			}
			Thread.sleep(CHAT_PAUSE_MS);
		}
		return null;
	}

	private static String request(String attempt) {
		return Client.head("POST", "/chat/x", attempt, 15_000, 2, "X-Fulmargap-Model: m\r\n"
				+ "X-Fulmargap-Token-Usage: 100,40\r\nX-Fulmargap-Prompt-Prefix: aa:60,bb:40\r\n") + "{}";
	}

	private Void readSlowly(EntryVm vm, String attempt) throws InterruptedException {
		long received = 0;
		try (Client client = vm.connect(RECEIVE_BUFFER_BYTES)) {
			client.send(request(attempt));
			this.record.write(attempt + " is sent");
			client.socket.setSoTimeout(SILENCE_MS);
			byte[] bytes = new byte[READ_BYTES];
			int count = client.socket.getInputStream().read(bytes);
			while (count > 0 && !endsAnswer(bytes, count)) {
				received += count;
				Thread.sleep(READ_PAUSE_MS);
				count = client.socket.getInputStream().read(bytes);
			}
			received += Math.max(0, count);
			this.record.write(attempt + ": " + ((count > 0) ? "the answer is complete" : "the channel ends"));
		}
		catch (IOException ex) {
			this.record.write(attempt + ": " + ex.getMessage());
		}
		this.record.write(attempt + " has got " + received + " bytes");
		return null;
	}

	private static boolean endsAnswer(byte[] bytes, int count) {
		return new String(bytes, 0, count, StandardCharsets.ISO_8859_1).endsWith("\r\n0\r\n\r\n");
	}

	private static final class EngineServer extends Server {

		private static final String EVENT = "id: %d\ndata: token\n\n";

		/** A comment of 1,000 bytes, which is no event. */
		private static final String COMMENT = ":" + "x".repeat(997) + "\n\n";

		private final Record record;

		private final boolean endless;

		EngineServer(String id, Record record, boolean endless) throws IOException {
			super(id, "pool", 64, record);
			this.record = record;
			this.endless = endless;
		}

		@Override
		void run(Message request, String attempt, OutputStream out) throws IOException, InterruptedException {
			write(out, "HTTP/1.1 200 OK\r\nX-Fulmargap-Attempt-Id: " + attempt + "\r\n" + seal(attempt)
					+ "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
			chunk(out, EVENT.formatted(1));
			if (this.endless && attempt.startsWith(ENDLESS_PREFIX)) {
				sendWithoutEnd(out);
			}
			chunk(out, EVENT.formatted(2));
			write(out, "0\r\n\r\n");
		}

		private void sendWithoutEnd(OutputStream out) throws IOException, InterruptedException {
			String bytes = COMMENT.repeat(SENT_BYTES / COMMENT.length());
			long sent = 0;
			try {
				while (true) {
					chunk(out, bytes);
					sent += bytes.length();
					Thread.sleep(SENT_PAUSE_MS);
				}
			}
			finally {
				this.record.write("server " + this.id + " has sent " + sent + " bytes when its channel is closed");
			}
		}

		private static void chunk(OutputStream out, String text) throws IOException {
			write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
		}

		private static void write(OutputStream out, String text) throws IOException {
			out.write(text.getBytes(StandardCharsets.ISO_8859_1));
			out.flush();
		}

	}

}
