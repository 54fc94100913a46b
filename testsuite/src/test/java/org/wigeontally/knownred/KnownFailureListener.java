package org.wigeontally.knownred;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Optional;

import org.testng.IInvokedMethod;
import org.testng.IInvokedMethodListener;
import org.testng.ITestResult;

/**
 * Reports failures of tests listed in {@link KnownFailures} as skipped, so that CI fails
 * only for tests that are not listed, and prints their entries. Also prints the entry of
 * a listed test that passes. Applies to test methods only, not to configuration methods.
 */
public final class KnownFailureListener implements IInvokedMethodListener {

	private final KnownFailures knownFailures;

	private final PrintStream out;

	public KnownFailureListener() {
		this(readFromWorkingDirectory(), System.out);
	}

	KnownFailureListener(KnownFailures knownFailures, PrintStream out) {
		this.knownFailures = knownFailures;
		this.out = out;
	}

	@Override
	public void afterInvocation(IInvokedMethod method, ITestResult result) {
		if (!method.isTestMethod()) {
			return;
		}
		Optional<String> entry = this.knownFailures.entry(method.getTestMethod().getRealClass().getName(),
				method.getTestMethod().getMethodName());
		if (entry.isEmpty()) {
			return;
		}
		if (result.getStatus() == ITestResult.FAILURE) {
			result.setStatus(ITestResult.SKIP);
			this.out.println("KNOWN RED: " + entry.get());
		}
		else if (result.getStatus() == ITestResult.SUCCESS) {
			this.out.println("KNOWN RED NOW PASSES: " + entry.get());
		}
	}

	private static KnownFailures readFromWorkingDirectory() {
		try {
			return KnownFailures.readNearest(Path.of(""));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

}
