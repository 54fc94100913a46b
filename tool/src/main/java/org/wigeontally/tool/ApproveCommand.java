package org.wigeontally.tool;

import java.security.GeneralSecurityException;
import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;

import org.wigeontally.configuration.Signatures;
import org.wigeontally.errors.WigeontallyException;
import org.wigeontally.schema.generated.Approval;
import org.wigeontally.schema.generated.OperatorSettings;

/**
 * Signs an approval of an organisation for a service and prints it. The operator pastes
 * it into a bundle.
 */
final class ApproveCommand implements Command {

	private final Console console;

	@Parameter(description = "ORGANISATION SERVICE", required = true)
	private List<String> names = new ArrayList<>();

	ApproveCommand(Console console) {
		this.console = console;
	}

	@Override
	public String name() {
		return "approve";
	}

	@Override
	public String description() {
		return "Approve an organisation for a service, as the owner of the service";
	}

	@Override
	public int run() throws WigeontallyException {
		if (this.names.size() != 2) {
			throw new UsageException("approve needs two names: ORGANISATION SERVICE");
		}
		OperatorSettings settings = OperatorSession.readSettings(this.console, true);
		Approval approval = signApproval(settings);
		if (!this.console.printIfJson(approval)) {
			this.console.out().println("# In the bundle, under approvals of organisation " + this.names.get(0) + ":");
			this.console.out().print(MessageToYaml.write(approval));
		}
		return ExitCode.SUCCESS;
	}

	private Approval signApproval(OperatorSettings settings) throws UsageException {
		try {
			return Signatures.signApproval(this.names.get(0), this.names.get(1), settings.getOperator(),
					Signatures.parsePrivateKey(settings.getPrivateKey()));
		}
		catch (GeneralSecurityException ex) {
			throw new UsageException("private_key is not an Ed25519 key; make one with wigeontally key new");
		}
	}

}
