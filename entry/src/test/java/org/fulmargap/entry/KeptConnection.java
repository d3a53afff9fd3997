package org.fulmargap.entry;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/**
 * A caller's connection to a VM, for one request after the other. Shows each byte that
 * arrives, also those that no HTTP client would hand on.
 */
final class KeptConnection implements AutoCloseable {

	private static final int CONNECT_TIMEOUT_MS = 1_000;

	private static final int FIRST_FINAL_STATUS = 200;

	private final Socket socket = new Socket();

	private final InputStream in;

	private int status;

	private Map<String, String> headers = Map.of();

	private final StringBuilder body = new StringBuilder();

	private boolean sentWhole;

	private long sentAtMs;

	KeptConnection(String address) throws IOException {
		this(address, 0);
	}

	/**
	 * Connects with a given receive buffer, or with the usual one if it is 0.
	 */
	KeptConnection(String address, int receiveBufferBytes) throws IOException {
		if (receiveBufferBytes > 0) {
			this.socket.setReceiveBufferSize(receiveBufferBytes);
		}
		int colon = address.indexOf(':');
		this.socket.connect(
				new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
				CONNECT_TIMEOUT_MS);
		this.socket.setTcpNoDelay(true);
		this.in = new BufferedInputStream(this.socket.getInputStream());
	}

	/**
	 * Returns the bytes that arrived while no request was waiting.
	 */
	String unaskedBytes() {
		try {
			return new String(this.in.readNBytes(this.in.available()), StandardCharsets.ISO_8859_1);
		}
		catch (IOException ex) {
			// The connection is closed.
			return "";
		}
	}

	/**
	 * Sends a request and reads its answer.
	 * @param request the request
	 * @param method how it is sent
	 * @param silenceMs how long to wait for each byte, in milliseconds
	 * @return what was received
	 */
	ReceivedAnswer exchange(String request, CallerMethod method, int silenceMs) {
		this.status = 0;
		this.headers = Map.of();
		this.body.setLength(0);
		long sentAtMs = System.currentTimeMillis();
		try {
			this.socket.setSoTimeout(silenceMs);
			this.socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
			readHead();
			readBody(method);
			return received(ReceivedAnswer.End.COMPLETE, sentAtMs, "");
		}
		catch (SocketTimeoutException ex) {
			return received(ReceivedAnswer.End.SILENT, sentAtMs, ex.getMessage());
		}
		catch (IOException ex) {
			return received(ReceivedAnswer.End.CLOSED, sentAtMs, ex.getMessage());
		}
		catch (IllegalArgumentException ex) {
			return received(ReceivedAnswer.End.MALFORMED, sentAtMs, ex.getMessage());
		}
	}

	/**
	 * Sends a request in parts and reads its answer; interim answers are skipped.
	 * @param parts the parts of the request; none if it was sent with the one before it
	 * @param pauseMs the time between two parts, in milliseconds
	 * @param readPauseMs the time before the answer is read, in milliseconds
	 * @param silenceMs how long to wait for each byte, in milliseconds
	 * @return what was received; its time begins after the last part
	 */
	ReceivedAnswer exchange(List<String> parts, long pauseMs, long readPauseMs, int silenceMs)
			throws InterruptedException {
		this.status = 0;
		this.headers = Map.of();
		this.body.setLength(0);
		this.sentWhole &= parts.isEmpty();
		try {
			this.socket.setSoTimeout(silenceMs);
			for (int i = 0; i < parts.size(); i++) {
				Thread.sleep((i > 0) ? pauseMs : 0);
				this.socket.getOutputStream().write(parts.get(i).getBytes(StandardCharsets.ISO_8859_1));
			}
			if (!parts.isEmpty()) {
				this.sentAtMs = System.currentTimeMillis();
				this.sentWhole = true;
			}
			Thread.sleep(readPauseMs);
			do {
				readHead();
			}
			while (this.status < FIRST_FINAL_STATUS);
			readBody(CallerMethod.POST);
			return received(ReceivedAnswer.End.COMPLETE, this.sentAtMs, "");
		}
		catch (SocketTimeoutException ex) {
			return received(ReceivedAnswer.End.SILENT, this.sentAtMs, ex.getMessage());
		}
		catch (IOException ex) {
			return received(ReceivedAnswer.End.CLOSED, this.sentAtMs, ex.getMessage());
		}
		catch (IllegalArgumentException ex) {
			return received(ReceivedAnswer.End.MALFORMED, this.sentAtMs, ex.getMessage());
		}
	}

	/**
	 * Returns whether the last request that was sent in parts was sent to its end.
	 */
	boolean hasSentWhole() {
		return this.sentWhole;
	}

	private ReceivedAnswer received(ReceivedAnswer.End end, long sentAtMs, String detail) {
		return new ReceivedAnswer(this.status, this.headers, this.body.toString(), end,
				System.currentTimeMillis() - sentAtMs, detail);
	}

	private void readHead() throws IOException {
		String statusLine = readLine();
		if (!statusLine.matches("HTTP/1\\.1 [1-5]\\d\\d( .*)?")) {
			throw new IllegalArgumentException("status line " + statusLine);
		}
		Map<String, String> read = new TreeMap<>();
		String line = readLine();
		while (!line.isEmpty()) {
			int colon = line.indexOf(':');
			if (colon < 1) {
				throw new IllegalArgumentException("header " + line);
			}
			String name = line.substring(0, colon).toLowerCase(Locale.ROOT);
			read.merge(name, line.substring(colon + 1).strip(), (first, second) -> first + ", " + second);
			line = readLine();
		}
		this.headers = read;
		this.status = Integer.parseInt(statusLine.substring(9, 12));
	}

	private void readBody(CallerMethod method) throws IOException {
		if (method == CallerMethod.HEAD || this.status == 204 || this.status == 304) {
			return;
		}
		if (this.headers.containsKey("transfer-encoding")) {
			readChunks();
		}
		else if (this.headers.containsKey("content-length")) {
			readBytes(Integer.parseInt(this.headers.get("content-length")));
		}
		else {
			readToEnd();
		}
	}

	private void readChunks() throws IOException {
		int length = Integer.parseInt(readLine(), 16);
		while (length > 0) {
			readBytes(length);
			expectEmptyLine();
			length = Integer.parseInt(readLine(), 16);
		}
		expectEmptyLine();
	}

	private void expectEmptyLine() throws IOException {
		String line = readLine();
		if (!line.isEmpty()) {
			throw new IllegalArgumentException("after a chunk: " + line);
		}
	}

	private void readBytes(int length) throws IOException {
		for (int i = 0; i < length; i++) {
			this.body.append((char) readByte());
		}
	}

	private void readToEnd() throws IOException {
		int next = this.in.read();
		while (next >= 0) {
			this.body.append((char) next);
			next = this.in.read();
		}
	}

	private String readLine() throws IOException {
		StringBuilder line = new StringBuilder();
		int next = readByte();
		while (next != '\n') {
			line.append((char) next);
			next = readByte();
		}
		return line.toString().stripTrailing();
	}

	private int readByte() throws IOException {
		int next = this.in.read();
		if (next < 0) {
			throw new IOException("the connection was closed");
		}
		return next;
	}

	@Override
	public void close() throws IOException {
		this.socket.close();
	}

}
