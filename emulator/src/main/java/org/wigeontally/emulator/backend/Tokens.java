package org.wigeontally.emulator.backend;

import java.nio.charset.StandardCharsets;

import com.google.common.hash.Hashing;

/**
 * Text of the tokens that an emulated engine generates: a function of version, prompt and
 * index, so that a crossed, mixed, lost or repeated token shows.
 */
public final class Tokens {

	private Tokens() {
	}

	/**
	 * Returns a token.
	 * @param version version of the model
	 * @param prompt the prompt
	 * @param index index of the token, from 0
	 * @return eight hexadecimal digits
	 */
	public static String token(String version, String prompt, int index) {
		String text = version + "|" + prompt + "|" + index;
		return Hashing.murmur3_32_fixed().hashString(text, StandardCharsets.UTF_8).toString();
	}

}
