import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/** A head and a body of HTTP/1.1, as read from a connection. */
final class Http {

	final String startLine;

	final Map<String, String> headers = new LinkedHashMap<>();

	byte[] body = new byte[0];

	private Http(String startLine) {
		this.startLine = startLine;
	}

	String header(String name) {
		return this.headers.getOrDefault(name.toLowerCase(Locale.ROOT), "");
	}

	int status() {
		return Integer.parseInt(this.startLine.split(" ")[1]);
	}

	/** Reads a message; null if the connection ended before it. */
	static Http read(InputStream in) throws IOException {
		String first = line(in);
		if (first == null) {
			return null;
		}
		Http message = new Http(first);
		for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
			int colon = line.indexOf(':');
			message.headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
		}
		if (message.header("transfer-encoding").equalsIgnoreCase("chunked")) {
			ByteArrayOutputStream body = new ByteArrayOutputStream();
			for (int size = size(in); size > 0; size = size(in)) {
				body.write(exactly(in, size));
				line(in);
			}
			line(in);
			message.body = body.toByteArray();
		}
		else if (!message.header("content-length").isEmpty()) {
			message.body = exactly(in, Integer.parseInt(message.header("content-length")));
		}
		return message;
	}

	private static int size(InputStream in) throws IOException {
		String line = line(in);
		if (line == null) {
			throw new EOFException("the connection ended in a body");
		}
		return Integer.parseInt(line.trim(), 16);
	}

	private static byte[] exactly(InputStream in, int size) throws IOException {
		byte[] bytes = in.readNBytes(size);
		if (bytes.length < size) {
			throw new EOFException("the connection ended in a body");
		}
		return bytes;
	}

	private static String line(InputStream in) throws IOException {
		ByteArrayOutputStream line = new ByteArrayOutputStream();
		for (int next = in.read(); next >= 0; next = in.read()) {
			if (next == '\n') {
				String text = line.toString(StandardCharsets.ISO_8859_1);
				return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
			}
			line.write(next);
		}
		return null;
	}

}
