package org.burdocktray.process.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.PosixFilePermissions;
import java.security.KeyPair;
import java.security.KeyPairGenerator;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import java.util.regex.Pattern;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.burdocktray.version.bundle.OperatorKeys;

/**
 * Creates the key pair of an operator. Invariants: the private key is never readable by
 * other users, not even while it is written, and no existing file is replaced. Thread
 * safety: stateless.
 */
final class BundleKeygenCommand implements Command {

	private static final String DIRECTORY_OPTION = "directory";

	private static final Pattern OPERATOR_NAME = Pattern.compile("[\\p{L}\\p{N}][\\p{L}\\p{N}._-]*");

	private static final String PRIVATE_FILE_PERMISSIONS = "rw-------";

	private static final String PUBLIC_FILE_PERMISSIONS = "rw-r--r--";

	@Override
	public String name() {
		return "bundle keygen";
	}

	@Override
	public String arguments() {
		return "OPERATOR";
	}

	@Override
	public String summary() {
		return "Make the Ed25519 key pair of an operator: OPERATOR.private and OPERATOR.public.";
	}

	@Override
	public Options options() {
		Option directory = Option.builder()
			.longOpt(DIRECTORY_OPTION)
			.hasArg()
			.argName("DIR")
			.desc("Where to write the two files; the current directory by default.")
			.get();
		return new Options().addOption(directory);
	}

	@Override
	public ExitCode run(CommandLine line, PrintStream out, PrintStream err) {
		String operator = line.getArgList().get(0);
		if (!OPERATOR_NAME.matcher(operator).matches()) {
			err.println("OPERATOR: expected a name of letters, digits or . _ -, found " + operator);
			return ExitCode.USAGE;
		}
		Path directory = Path.of(line.getOptionValue(DIRECTORY_OPTION, "."));
		Path privateFile = directory.resolve(operator + ".private");
		Path publicFile = directory.resolve(operator + ".public");
		try {
			print(writeKeyPair(privateFile, publicFile), line, out);
			return ExitCode.OK;
		}
		catch (FileAlreadyExistsException ex) {
			err.println(ex.getFile() + ": exists already, not replaced");
			return ExitCode.REFUSED;
		}
		catch (IOException ex) {
			err.println(ex.getMessage() + ": can't be written");
			return ExitCode.USAGE;
		}
	}

	private static KeyFiles writeKeyPair(Path privateFile, Path publicFile) throws IOException {
		if (Files.exists(publicFile)) {
			throw new FileAlreadyExistsException(publicFile.toString());
		}
		KeyPair keyPair = generateKeyPair();
		writeKey(privateFile, keyPair.getPrivate().getEncoded(), PRIVATE_FILE_PERMISSIONS);
		writeKey(publicFile, keyPair.getPublic().getEncoded(), PUBLIC_FILE_PERMISSIONS);
		return new KeyFiles(privateFile.toString(), publicFile.toString(), encode(keyPair.getPublic().getEncoded()));
	}

	private static KeyPair generateKeyPair() {
		try {
			return KeyPairGenerator.getInstance(OperatorKeys.ALGORITHM).generateKeyPair();
		}
		catch (NoSuchAlgorithmException ex) {
			throw new IllegalStateException("Ed25519 is not available", ex);
		}
	}

	private static void writeKey(Path file, byte[] key, String permissions) throws IOException {
		Files.createFile(file, PosixFilePermissions.asFileAttribute(PosixFilePermissions.fromString(permissions)));
		Files.writeString(file, encode(key) + "\n", StandardOpenOption.WRITE);
	}

	private static String encode(byte[] key) {
		return Base64.getEncoder().encodeToString(key);
	}

	private static void print(KeyFiles files, CommandLine line, PrintStream out) {
		if (JsonOutput.isRequested(line)) {
			JsonOutput.print(files, out);
			return;
		}
		out.println(files.privateKeyFile());
		out.println(files.publicKeyFile());
	}

	/**
	 * The created key pair. Thread safety: immutable.
	 *
	 * @param privateKeyFile the file of the private key, PKCS #8 in Base64
	 * @param publicKeyFile the file of the public key, X.509 in Base64
	 * @param publicKey the public key in the form that bundles and settings use
	 */
	record KeyFiles(String privateKeyFile, String publicKeyFile, String publicKey) {

	}

}
