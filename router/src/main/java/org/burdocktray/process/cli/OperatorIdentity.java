package org.burdocktray.process.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;

import io.vavr.control.Either;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.burdocktray.version.signing.BundleSigner;

/**
 * Defines the options that identify the signing operator, and reads the private key.
 * Thread safety: stateless.
 */
final class OperatorIdentity {

	private static final String OPERATOR_OPTION = "operator";

	private static final String KEY_OPTION = "key";

	private OperatorIdentity() {
	}

	static Options addOptionsTo(Options options) {
		return options
			.addOption(Option.builder()
				.longOpt(OPERATOR_OPTION)
				.hasArg()
				.argName("NAME")
				.required()
				.desc("The operator who signs.")
				.get())
			.addOption(Option.builder()
				.longOpt(KEY_OPTION)
				.hasArg()
				.argName("FILE")
				.required()
				.desc("The operator's private key, as \"bundle keygen\" writes it.")
				.get());
	}

	static Either<String, BundleSigner> readSigner(CommandLine line) {
		String file = line.getOptionValue(KEY_OPTION);
		try {
			return BundleSigner.parsePrivateKey(Files.readString(Path.of(file)).trim())
				.<Either<String, BundleSigner>>map(
						(key) -> Either.right(new BundleSigner(line.getOptionValue(OPERATOR_OPTION), key)))
				.orElseGet(() -> Either.left(file + ": expected an Ed25519 private key, PKCS 8 encoded in base 64"));
		}
		catch (IOException ex) {
			return Either.left(file + ": can't be read");
		}
	}

}
