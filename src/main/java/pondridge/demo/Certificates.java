package pondridge.demo;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** A certificate authority and site certificates, generated for each demo or test; not for production use. */
public final class Certificates {
    private final Path folder;
    private final X509Bundle authority;

    /** Creates an authority that writes its files to this folder. */
    public Certificates(Path folder) throws IOException {
        this.folder = folder;
        try {
            this.authority = new CertificateBuilder()
                    .ecp256()
                    .subject("CN=demo authority")
                    .setIsCertificateAuthority(true)
                    .buildSelfSigned();
        } catch (Exception e) {
            throw new IOException("cannot create the certificate authority", e);
        }
        Files.writeString(folder.resolve("ca.pem"), authority.getCertificatePEM());
    }

    /** Issues a certificate that is valid for a day; returns the settings lines that name its files. */
    public String issue(String site) throws IOException {
        return issue(site, site, Instant.now().plus(1, ChronoUnit.DAYS));
    }

    /** Issues a certificate with this subject name and end of validity, written to files named after {@code file}. */
    public String issue(String file, String subjectName, Instant notAfter) throws IOException {
        try {
            X509Bundle issued = new CertificateBuilder()
                    .ecp256()
                    .subject("CN=" + subjectName)
                    .addSanDnsName(subjectName)
                    .notBefore(notAfter.minus(2, ChronoUnit.DAYS))
                    .notAfter(notAfter)
                    .buildIssuedBy(authority);
            Files.writeString(folder.resolve(file + ".pem"), issued.getCertificatePEM());
            Files.writeString(folder.resolve(file + ".key"), issued.getPrivateKeyPEM());
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("cannot issue a certificate for " + subjectName, e);
        }
        return "certificate = \"" + folder.resolve(file + ".pem") + "\"\nkey = \"" + folder.resolve(file + ".key")
                + "\"\nauthorities = \"" + folder.resolve("ca.pem") + "\"\n";
    }
}
