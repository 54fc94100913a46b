package org.wigeontally.tool;

import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

import com.beust.jcommander.Parameter;

/**
 * Generates and prints an operator's key pair. The keys are not stored.
 */
final class KeyNewCommand implements Command {

	private final Console console;

	@Parameter(description = "NAME", required = true)
	private String operatorName;

	KeyNewCommand(Console console) {
		this.console = console;
	}

	@Override
	public String name() {
		return "key new";
	}

	@Override
	public String description() {
		return "Make a key pair for an operator or owner";
	}

	@Override
	public int run() {
		KeyPair pair = generateKeyPair();
		String publicKey = HexFormat.of().formatHex(pair.getPublic().getEncoded());
		String privateKey = HexFormat.of().formatHex(pair.getPrivate().getEncoded());
		if (this.console.options().isJson()) {
			this.console.out()
				.printf("{\"operator\":\"%s\",\"public_key\":\"%s\",\"private_key\":\"%s\"}%n", this.operatorName,
						publicKey, privateKey);
			return ExitCode.SUCCESS;
		}
		this.console.out().println("# Keep secret, in the operator's own settings:");
		this.console.out().println("operator: " + this.operatorName);
		this.console.out().println("private_key: " + privateKey);
		this.console.out().println("# For operator_keys in the settings of every entry:");
		this.console.out().println("# - name: " + this.operatorName);
		this.console.out().println("#   public_key: " + publicKey);
		return ExitCode.SUCCESS;
	}

	private static KeyPair generateKeyPair() {
		try {
			return KeyPairGenerator.getInstance("Ed25519").generateKeyPair();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("the Java runtime lacks Ed25519", ex);
		}
	}

}
