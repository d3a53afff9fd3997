package org.fulmargap.standin;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Computes the output of a stage as a function of its input. Each output contains the
 * digest of the input of the pipeline's first stage, so that a client can check that a
 * response belongs to its request.
 */
public final class StageOutput {

	private static final int DEFAULT_TOKENS = 16;

	private static final Pattern ORIGIN = Pattern.compile("origin=([0-9a-f]{16})");

	private StageOutput() {
	}

	/**
	 * Returns the tokens of the output of a stage.
	 * @param kind the kind of the stage
	 * @param input the input of the stage
	 * @param maxTokens the number of tokens of a generate stage, zero for the default
	 * @return the tokens, at least one
	 */
	public static List<String> tokens(String kind, String input, int maxTokens) {
		List<String> tokens = new ArrayList<>();
		tokens.add(kind + " origin=" + origin(input) + " digest=" + digest(input));
		if (kind.equals("generate")) {
			int count = (maxTokens > 0) ? maxTokens : DEFAULT_TOKENS;
			for (int index = 1; index < count; index++) {
				tokens.add(" word" + index);
			}
		}
		return tokens;
	}

	/**
	 * Returns whether an output belongs to the request with a given input.
	 * @param output the output of the pipeline
	 * @param input the input that the client sent
	 * @return {@code true} if the output contains the digest of the input and of no other
	 * input
	 */
	public static boolean belongsTo(String output, String input) {
		Matcher matcher = ORIGIN.matcher(output);
		String expected = origin(input);
		boolean found = false;
		while (matcher.find()) {
			if (!matcher.group(1).equals(expected)) {
				return false;
			}
			found = true;
		}
		return found;
	}

	private static String origin(String input) {
		Matcher matcher = ORIGIN.matcher(input);
		return matcher.find() ? matcher.group(1) : digest(input);
	}

	private static String digest(String input) {
		try {
			byte[] digest = MessageDigest.getInstance("SHA-256").digest(input.getBytes(StandardCharsets.UTF_8));
			return HexFormat.of().formatHex(digest, 0, 8);
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
