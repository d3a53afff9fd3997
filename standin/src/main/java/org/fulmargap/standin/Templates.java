package org.fulmargap.standin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;

/**
 * Fills in the templates of settings and patches.
 */
final class Templates {

	private Templates() {
	}

	static String fill(String template, Map<String, String> values) {
		String text = template;
		for (Map.Entry<String, String> value : values.entrySet()) {
			text = text.replace("${" + value.getKey() + "}", value.getValue());
		}
		return text;
	}

	static String sha256(String text) {
		try {
			return HexFormat.of()
				.formatHex(MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8)));
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
