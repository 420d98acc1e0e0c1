package org.burdocktray.process.burn;

/**
 * Formats burn reports. Thread safety: implementations are stateless.
 */
public interface BurnReportWriter {

	/**
	 * Formats a report.
	 * @param report the report
	 * @return the formatted text
	 */
	String write(BurnReport report);

}
