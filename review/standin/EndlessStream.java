import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;

/**
 * A faulty server goes on after the first event of one answer with bytes without end, until
 * its channel is closed. Without the disruption the answer ends after its last event.
 */
final class EndlessStream extends Case {

	private static final long WORK_MS = 20;

	/** The faulty server sends 40,000,000 bytes a second: 320 Mbit/s. */
	private static final int SENT_BYTES = 400_000;

	private static final long SENT_PAUSE_MS = 10;

	/** The client reads 20,000 bytes each 10 ms: 16 Mbit/s. */
	private static final int READ_BYTES = 20_000;

	private static final long READ_PAUSE_MS = 10;

	private static final int RECEIVE_BUFFER_BYTES = 65_536;

	/** The client leaves a stream that is silent for so long. */
	private static final int SILENCE_MS = 5_000;

	private static final long GRACE_MS = 8_000;

	private static final long PLAY_MS = 18_000;

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
		Thread.sleep(1_000);
		Future<?> chat = threads.submit(() -> chat(vm));
		Thread.sleep(PLAY_MS);
		boolean broken = small.end();
		chat.get(30, TimeUnit.SECONDS);
		threads.shutdownNow();
		vm.signal("TERM");
		vm.awaitExit(GRACE_MS);
		return broken;
	}

	private Void chat(EntryVm vm) throws InterruptedException {
		long received = 0;
		try (Client client = vm.connect(RECEIVE_BUFFER_BYTES)) {
			client.send(Client.head("POST", "/chat/x", "chat0", 15_000, 2, "X-Fulmargap-Model: m\r\n"
					+ "X-Fulmargap-Token-Usage: 100,40\r\nX-Fulmargap-Prompt-Prefix: aa:60,bb:40\r\n") + "{}");
			this.record.write("chat0 is sent");
			client.socket.setSoTimeout(SILENCE_MS);
			byte[] bytes = new byte[READ_BYTES];
			int count = client.socket.getInputStream().read(bytes);
			while (count > 0 && !endsAnswer(bytes, count)) {
				received += count;
				Thread.sleep(READ_PAUSE_MS);
				count = client.socket.getInputStream().read(bytes);
			}
			received += Math.max(0, count);
			this.record.write("chat0: " + ((count > 0) ? "the answer is complete" : "the channel ends"));
		}
		catch (IOException ex) {
			this.record.write("chat0: " + ex.getMessage());
		}
		this.record.write("chat0 has got " + received + " bytes");
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
			if (this.endless) {
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
