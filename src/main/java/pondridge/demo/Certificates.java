package pondridge.demo;

import io.netty.pkitesting.CertificateBuilder;
import io.netty.pkitesting.X509Bundle;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.temporal.ChronoUnit;

/** An authority and certificates for sites, made anew for each demo; no use for anything else. */
public final class Certificates {
    private final Path folder;
    private final X509Bundle authority;

    /** An authority whose files go into this folder. */
    public Certificates(Path folder) throws IOException {
        this.folder = folder;
        try {
            this.authority = new CertificateBuilder()
                    .ecp256()
                    .subject("CN=demo authority")
                    .setIsCertificateAuthority(true)
                    .buildSelfSigned();
        } catch (Exception e) {
            throw new IOException("no certificate can be made", e);
        }
        Files.writeString(folder.resolve("ca.pem"), authority.getCertificatePEM());
    }

    /** The settings' lines for a site whose certificate is good for a day. */
    public String site(String site) throws IOException {
        return site(site, site, Instant.now().plus(1, ChronoUnit.DAYS));
    }

    /** The same, with a certificate that names another site or ends at some time. */
    public String site(String file, String named, Instant until) throws IOException {
        try {
            X509Bundle made = new CertificateBuilder()
                    .ecp256()
                    .subject("CN=" + named)
                    .addSanDnsName(named)
                    .notBefore(until.minus(2, ChronoUnit.DAYS))
                    .notAfter(until)
                    .buildIssuedBy(authority);
            Files.writeString(folder.resolve(file + ".pem"), made.getCertificatePEM());
            Files.writeString(folder.resolve(file + ".key"), made.getPrivateKeyPEM());
        } catch (IOException e) {
            throw e;
        } catch (Exception e) {
            throw new IOException("no certificate can be made", e);
        }
        return "certificate = \"" + folder.resolve(file + ".pem") + "\"\nkey = \"" + folder.resolve(file + ".key")
                + "\"\nauthorities = \"" + folder.resolve("ca.pem") + "\"\n";
    }
}
