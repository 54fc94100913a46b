package org.wigeontally.model;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import edu.mit.csail.sdg.alloy4.A4Reporter;
import edu.mit.csail.sdg.ast.Command;
import edu.mit.csail.sdg.ast.Module;
import edu.mit.csail.sdg.parser.CompUtil;
import edu.mit.csail.sdg.translator.A4Options;
import edu.mit.csail.sdg.translator.A4Solution;
import edu.mit.csail.sdg.translator.TranslateAlloyToKodkod;
import kodkod.engine.satlab.SATFactory;
import org.slf4j.LoggerFactory;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Runs every command of the Alloy specifications in {@code alloy/}. The {@code expect}
 * clause of a command states whether the solver must find an instance: 0 for properties
 * that must hold, 1 for example traces and for checks with one rule removed, which must
 * yield a counterexample.
 */
public class AlloySpecificationTests {

	private static final String[] SPECIFICATIONS = { "claims", "configuration" };

	@DataProvider
	public Object[][] commands() throws IOException {
		((Logger) LoggerFactory.getLogger("kodkod")).setLevel(Level.WARN);
		List<Object[]> commands = new ArrayList<>();
		for (String specification : SPECIFICATIONS) {
			Module module = CompUtil.parseEverything_fromString(A4Reporter.NOP, readSpecification(specification));
			for (Command command : module.getAllCommands()) {
				commands.add(new Object[] { specification, command.label, module, command });
			}
		}
		return commands.toArray(Object[][]::new);
	}

	@Test(dataProvider = "commands")
	public void solverResultMatchesExpectation(String specification, String label, Module module, Command command) {
		assertThat(command.expects).as("%s has an expect clause", label).isIn(0, 1);
		A4Options options = new A4Options();
		options.solver = SATFactory.find("sat4j").orElseThrow();
		A4Solution solution = TranslateAlloyToKodkod.execute_command(A4Reporter.NOP, module.getAllReachableSigs(),
				command, options);
		assertThat(solution.satisfiable()).as("%s: %s", specification, label).isEqualTo(command.expects == 1);
	}

	private static String readSpecification(String specification) throws IOException {
		try (InputStream in = AlloySpecificationTests.class.getResourceAsStream("/alloy/" + specification + ".als")) {
			return new String(in.readAllBytes(), StandardCharsets.UTF_8);
		}
	}

}
