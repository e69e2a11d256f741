package org.almondmount;

import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition;
import com.tngtech.archunit.library.dependencies.SlicesRuleDefinition;

@AnalyzeClasses(packages = "org.almondmount", importOptions = DoNotIncludeTests.class)
class ArchitectureTests {

	@ArchTest
	final ArchRule decisionCodeDoesNoInputOutput = ArchRuleDefinition.noClasses()
		.should()
		.dependOnClassesThat()
		.resideInAnyPackage("io.netty..", "java.net..", "java.nio..", "java.io..", "org.msgpack..", "com.fasterxml..",
				"java.util.concurrent..");

	@ArchTest
	final ArchRule decisionCodeUsesNoThreads = ArchRuleDefinition.noClasses()
		.should()
		.dependOnClassesThat()
		.areAssignableTo(Thread.class);

	@ArchTest
	final ArchRule decisionCodeReadsNoClock = ArchRuleDefinition.noClasses()
		.should()
		.callMethod(System.class, "nanoTime")
		.orShould()
		.callMethod(System.class, "currentTimeMillis")
		.orShould()
		.dependOnClassesThat()
		.areAssignableTo(java.time.Clock.class);

	@ArchTest
	final ArchRule decisionCodeCreatesNoRandomSource = ArchRuleDefinition.noClasses()
		.should()
		.callConstructor(java.util.Random.class)
		.orShould()
		.callConstructor(java.util.SplittableRandom.class)
		.orShould()
		.callMethod(Math.class, "random");

	@ArchTest
	final ArchRule packagesAreFreeOfCycles = SlicesRuleDefinition.slices()
		.matching("org.almondmount.(*)..")
		.should()
		.beFreeOfCycles();

}
